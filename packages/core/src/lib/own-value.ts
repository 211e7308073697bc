/** Access to records whose keys come from outside the program, where an inherited member such as "constructor" is no entry. */

/** Returns the value that a record itself holds under a key; `undefined` if it holds none. */
export const ownValue = <T>(record: Readonly<Record<string, T>>, key: string): T | undefined =>
    Object.hasOwn(record, key) ? record[key] : undefined;

/** Sets the value of a key of a record that inherits from `Object` only. */
export const setOwnValue = <T>(record: Record<string, T>, key: string, value: T): void => {
    if (key === "__proto__") {
        // An assignment would set the prototype; for other names it does the same as this, and is several times faster.
        Object.defineProperty(record, key, { value, writable: true, enumerable: true, configurable: true });
        return;
    }
    record[key] = value;
};
