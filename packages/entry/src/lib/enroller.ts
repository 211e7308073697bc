/** Enrols this process with the state hosts, so that it may take part in claims. */
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
    /** Called once, with whether this host has never been enrolled before. */
    onEnrolled: (isFirstStart: boolean, roster: EntryRoster) => void;
}

/** A running enroller. */
export interface Enroller {
    stop(): void;
}

const callTimeoutMs = 4000;
const retryDelayMs = 500;

/** Starts to request enrolment from one state host after the other, until one answers with a roster. */
export const startEnroller = (options: EnrollerOptions): Enroller => {
    let stopped = false;
    const request = { kind: StateRequestKind.Enroll, host: options.host, incarnation: options.incarnation };

    const requestEnrolment = async (client: RpcClient): Promise<boolean> => {
        const result = await client.call(stateChannel, request, callTimeoutMs);
        const reply = result.ok ? result.body as StateReply : undefined;
        if (reply?.kind !== StateReplyKind.Enrolled || reply.roster === undefined) {
            return false;
        }
        options.onEnrolled(reply.firstStart, reply.roster);
        return true;
    };

    const enrollLoop = async (): Promise<void> => {
        for (let attempt = 0; !stopped; attempt += 1) {
            const client = options.stateHosts[attempt % options.stateHosts.length];
            if (client !== undefined && await requestEnrolment(client)) {
                return;
            }
            await sleep(retryDelayMs);
        }
    };

    void enrollLoop();
    return {
        stop: () => {
            stopped = true;
        },
    };
};
