/** Network addresses in the form "host:port". */

/** A host and its TCP port. */
export interface Address {
    host: string;
    port: number;
}

/** Splits "host:port" at its last colon. */
export const splitAddress = (address: string): Address => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
