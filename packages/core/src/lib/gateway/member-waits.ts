/** The requests that wait for an answer of one backend server, at this host and at others. */
import { hangEvidence, waitEvidence } from "./wait-evidence.js";
import type { Survival } from "./wait-evidence.js";

/** Waiting requests of one server. Times are in milliseconds of the host's clock, evidence is in nats. */
export interface MemberWaits {
    started(startedAt: number, survival: Survival): void;
    /** Removes the request that was sent at `startedAt`; returns whether it had become a hang. */
    ended(startedAt: number): boolean;
    /** Removes requests whose wait has become a hang from the evidence; returns their number. */
    takeHangs(now: number): number;
    /** Evidence that the server is unhealthy, from all requests that are not hangs. */
    evidence(now: number): number;
    /** Evidence of this host's requests, in steps of {@link levelStepNats}. */
    level(now: number): number;
    /** Replaces the level that another host has reported. */
    setHostLevel(hostKey: string, level: number): void;
    removeHostLevels(): void;
}

/** Evidence is reported in steps of this size, in nats, so that a wait causes few reports. */
const levelStepNats = 0.5;
/** Waits that are not hangs can't show more than this together, in nats, as load makes all of them late. */
const maxEvidence = 2 * hangEvidence;

/** A request of this host. */
interface Wait {
    startedAt: number;
    survival: Survival;
    isHang: boolean;
}

/** Creates the record of a server without requests. */
export const createMemberWaits = (): MemberWaits => {
    let waits: Wait[] = [];
    const levels = new Map<string, number>();
    let levelSum = 0;

    const ownEvidence = (now: number): number =>
        waits.reduce(
            (sum, { startedAt, survival, isHang }) =>
                sum + (isHang ? 0 : Math.min(hangEvidence, waitEvidence(now - startedAt, survival))),
            0,
        );

    return {
        started: (startedAt, survival) => {
            waits.push({ startedAt, survival, isHang: false });
        },
        ended: startedAt => {
            const wait = waits.find(other => other.startedAt === startedAt);
            waits = waits.filter(other => other !== wait);
            return wait?.isHang === true;
        },
        takeHangs: now => {
            const hangs = waits.filter(({ startedAt, survival, isHang }) =>
                !isHang && waitEvidence(now - startedAt, survival) >= hangEvidence
            );
            for (const wait of hangs) {
                wait.isHang = true;
            }
            return hangs.length;
        },
        evidence: now => Math.min(maxEvidence, ownEvidence(now) + levelStepNats * levelSum),
        level: now => Math.floor(ownEvidence(now) / levelStepNats),
        setHostLevel: (hostKey, level) => {
            levelSum += level - (levels.get(hostKey) ?? 0);
            if (level === 0) {
                levels.delete(hostKey);
            }
            else {
                levels.set(hostKey, level);
            }
        },
        removeHostLevels: () => {
            levels.clear();
            levelSum = 0;
        },
    };
};
