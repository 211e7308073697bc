/** Numbers of configurations, which operators choose: exact for any number of digits. */

/**
 * A safe integer, or the decimal digits of a higher number without leading zeros. Equal numbers are identical values. Order them with
 * {@link isHigherNumber} only: the operators of the language would round digits or compare them as text.
 */
export type ConfigNumber = number | `${bigint}`;

/** Longer numbers are rejected, in digits: a host sends the number of its configuration in its first frame. */
export const maxConfigNumberDigits = 1000;

/** Returns the digits of a number; one that an earlier version has rounded is a double beyond the safe integers. */
const digitsOf = (number: ConfigNumber): string =>
    typeof number === "number" && Number.isInteger(number) ? BigInt(number).toString() : String(number);

/** Parses decimal digits; returns `undefined` for any other text, and for more than {@link maxConfigNumberDigits} digits. */
export const parseConfigNumber = (digits: string): ConfigNumber | undefined => {
    if (digits.length > maxConfigNumberDigits || !/^\d+$/u.test(digits)) {
        return undefined;
    }
    const significant = digits.replace(/^0+(?=\d)/u, "");
    const number = Number(significant);
    return Number.isSafeInteger(number) ? number : significant as `${bigint}`;
};

/** Whether `a` is higher than `b`. */
export const isHigherNumber = (a: ConfigNumber, b: ConfigNumber): boolean => {
    if (typeof a === "number" && typeof b === "number") {
        return a > b;
    }
    if (a === Infinity || b === Infinity) {
        return a === Infinity;
    }
    const [digitsA, digitsB] = [digitsOf(a), digitsOf(b)];
    return digitsA.length === digitsB.length ? digitsA > digitsB : digitsA.length > digitsB.length;
};
