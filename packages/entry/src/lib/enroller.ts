/** Enrols this process at the state hosts, so that it may take part in claims. */
import { StateReplyKind, StateRequestKind } from "@cassiapick/core";
import type { EntryRoster, RosterHost, StateReply } from "@cassiapick/core";
import type { RpcClient } from "@cassiapick/wire";
import { setTimeout as sleep } from "node:timers/promises";
import { stateChannel } from "./tables-watcher.js";

/** Options of {@link startEnroller}. */
export interface EnrollerOptions {
    host: RosterHost;
    incarnation: number;
    stateHosts: RpcClient[];
    onEnrolled: (firstStart: boolean, roster: EntryRoster) => void;
}

/** A running enroller. */
export interface Enroller {
    stop(): void;
}

const callTimeoutMs = 4000;
const pauseMs = 500;

/** Asks until the state hosts answer with a roster that names this host. */
export const startEnroller = (options: EnrollerOptions): Enroller => {
    let stopped = false;
    const request = { kind: StateRequestKind.Enroll, host: options.host, incarnation: options.incarnation };

    const ask = async (client: RpcClient): Promise<boolean> => {
        const result = await client.call(stateChannel, request, callTimeoutMs);
        const reply = result.ok ? result.body as StateReply : undefined;
        if (reply?.kind !== StateReplyKind.Enrolled || reply.roster === undefined) {
            return false;
        }
        options.onEnrolled(reply.firstStart, reply.roster);
        return true;
    };

    const run = async (): Promise<void> => {
        for (let turn = 0; !stopped; turn += 1) {
            const client = options.stateHosts[turn % options.stateHosts.length];
            if (client !== undefined && await ask(client)) {
                return;
            }
            await sleep(pauseMs);
        }
    };

    void run();
    return {
        stop: () => {
            stopped = true;
        },
    };
};
