/** Connections to other entry hosts, opened when they are first needed. */
import type { HostInfo } from "@cassiapick/core";
import { createRpcClient } from "@cassiapick/wire";
import type { RpcClient } from "@cassiapick/wire";

/** Options of {@link createFleetLinks}. */
export interface FleetLinksOptions {
    hostId: string;
    localAddress: string;
    token: string;
    find: (hostId: string) => HostInfo | undefined;
}

/** Connections by host. */
export interface FleetLinks {
    to(hostId: string): RpcClient | undefined;
    close(): void;
}

interface Link {
    client: RpcClient;
    address: string;
}

/** Creates links; none is open yet. */
export const createFleetLinks = (options: FleetLinksOptions): FleetLinks => {
    const links = new Map<string, Link>();

    const open = (info: HostInfo, address: string): RpcClient => {
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

    const to = (hostId: string): RpcClient | undefined => {
        const info = options.find(hostId);
        if (info === undefined) {
            return undefined;
        }
        const address = `${info.fleetHost}:${info.fleetPort}`;
        const known = links.get(hostId);
        if (known?.address === address) {
            return known.client;
        }
        known?.client.close();
        return open(info, address);
    };

    const close = (): void => {
        for (const { client } of links.values()) {
            client.close();
        }
        links.clear();
    };

    return { to, close };
};
