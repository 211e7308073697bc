/** Network addresses in the form "host:port". */

import { isIPv4 } from "node:net";

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

const maxPort = 65_535;

/** Whether a text is an IPv4 address and a port that can be connected to, as "host:port". */
export const isSocketAddress = (text: string): boolean => {
    const { host, port } = splitAddress(text);
    return isIPv4(host) && /:[1-9]\d{0,4}$/u.test(text) && port <= maxPort;
};
