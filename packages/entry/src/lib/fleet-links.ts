/** Connections to other entry hosts, opened on first use. */
import type { HostInfo } from "@cassiapick/core";
import { createRpcClient } from "@cassiapick/wire";
import type { RpcClient } from "@cassiapick/wire";

/** Options of {@link createFleetLinks}. */
export interface FleetLinksOptions {
    hostId: string;
    /** The local IP address to connect from. */
    localAddress: string;
    token: string;
    /** Returns the host's current addresses; `undefined` when the host is not a member. */
    findHost: (hostId: string) => HostInfo | undefined;
}

/** Connections by host id. */
export interface FleetLinks {
    /** Returns the connection to a host; reconnects when its address has changed, and returns `undefined` for an unknown host. */
    clientFor(hostId: string): RpcClient | undefined;
    close(): void;
}

interface Link {
    client: RpcClient;
    address: string;
}

/** Creates the links without opening any. */
export const createFleetLinks = (options: FleetLinksOptions): FleetLinks => {
    const links = new Map<string, Link>();

    const openLink = (info: HostInfo, address: string): RpcClient => {
        const client = createRpcClient({
            host: info.fleetHost,
            port: info.fleetPort,
            hostId: options.hostId,
            token: options.token,
            localAddress: options.localAddress,
        });
        links.set(info.hostId, { client, address });
        return client;
    };

    const clientFor = (hostId: string): RpcClient | undefined => {
        const info = options.findHost(hostId);
        if (info === undefined) {
            return undefined;
        }
        const address = `${info.fleetHost}:${info.fleetPort}`;
        const existing = links.get(hostId);
        if (existing?.address === address) {
            return existing.client;
        }
        existing?.client.close();
        return openLink(info, address);
    };

    const close = (): void => {
        for (const { client } of links.values()) {
            client.close();
        }
        links.clear();
    };

    return { clientFor, close };
};
