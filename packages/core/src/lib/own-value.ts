/** Access to records whose keys come from outside the program, where an inherited member such as "constructor" is no entry. */

/** Returns the value that a record itself holds under a key; `undefined` if it holds none. */
export const ownValue = <T>(record: Readonly<Record<string, T>>, key: string): T | undefined =>
    Object.hasOwn(record, key) ? record[key] : undefined;

/** Sets the value of a key; an assignment to "__proto__" would set the prototype of the record. */
export const setOwnValue = <T>(record: Record<string, T>, key: string, value: T): void => {
    Object.defineProperty(record, key, { value, writable: true, enumerable: true, configurable: true });
};
