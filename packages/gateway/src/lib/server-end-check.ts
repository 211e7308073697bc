/**
 * Finds out whether a server has ended when a request's connection to it broke. A reset alone also comes from servers that go on:
 * a server that has ended refuses the next connection, while another server accepts one from the same host.
 */
import { createTrialBudget } from "@cassiapick/core";
import type { FleetServer } from "@cassiapick/core";
import { ConnectResult } from "./try-connect.js";

/** Options of {@link createServerEndCheck}. */
export interface ServerEndCheckOptions {
    /** Opens and closes a connection; calls `onEnd` once. */
    tryConnect: (server: FleetServer, timeoutMs: number, onEnd: (result: ConnectResult) => void) => void;
    /** Other servers that are likely to accept a connection, best first. */
    otherServers: (server: FleetServer) => readonly FleetServer[];
    clock: () => number;
}

/** Checks servers whose connections broke. */
export interface ServerEndCheck {
    /** Resolves with whether the server has ended; `false` if that can't be told. */
    hasEnded(server: FleetServer): Promise<boolean>;
}

/** Timeout of each connection, in milliseconds: several round trips between regions. */
const connectTimeoutMs = 150;
/** Bounds the connections that carry no request while servers reset many requests. */
const checks = { burst: 10, ratePerS: 4 };

/** Creates the check of one host. */
export const createServerEndCheck = (options: ServerEndCheckOptions): ServerEndCheck => {
    const budget = createTrialBudget(checks);
    const connectTo = (server: FleetServer): Promise<ConnectResult> =>
        new Promise(resolve => options.tryConnect(server, connectTimeoutMs, resolve));

    return {
        hasEnded: async server => {
            if (!budget.tryTake(options.clock()) || await connectTo(server) !== ConnectResult.Refused) {
                return false;
            }
            const others = options.otherServers(server);
            for (const other of others) {
                if (await connectTo(other) === ConnectResult.Connected) {
                    return true;
                }
            }
            return others.length === 0;
        },
    };
};
