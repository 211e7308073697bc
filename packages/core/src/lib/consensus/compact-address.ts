/** Addresses "host:port" in two parts, as a port takes three bytes as a number and up to seven as text. */

/** Splits an address; `undefined` if joining the parts would not give the same text. */
export const splitHostAndPort = (address: string): [host: string, port: number] | undefined => {
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, Math.max(colon, 0));
    const port = Number(address.slice(colon + 1));
    return port > 0 && `${host}:${port}` === address ? [host, port] : undefined;
};
