/** Addresses as "host:port". */

/** The two parts of an address. */
export interface Address {
    host: string;
    port: number;
}

/** Splits "host:port". */
export const splitAddress = (address: string): Address => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
