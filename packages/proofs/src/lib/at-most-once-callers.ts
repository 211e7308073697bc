/** Callers that send a key again and again, and the backend server that runs it. */
import { ClaimActionKind, ClaimEventKind } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";
import type { Fleet, OwnAction } from "./at-most-once-fleet.js";
import type { Ledger, Sending } from "./at-most-once-ledger.js";
import { activeMs } from "./at-most-once-plan.js";
import type { FaultPlan } from "./at-most-once-plan.js";
import type { Timeline } from "./timeline.js";

/** Options of {@link createCallers}. */
export interface CallersOptions {
    plan: FaultPlan;
    timeline: Timeline;
    random: Random;
    ledger: Ledger;
    fleet: () => Fleet;
}

/** The callers of one case. */
export interface Callers {
    start(): void;
    /** Carries out what a host decided about a sending. */
    onAction(action: OwnAction, hostId: string): void;
}

enum Style {
    OneAfterTheOther = "one-after-the-other",
    TwoAtOnce = "two-at-once",
    OtherRequest = "other-request",
}

interface Caller {
    key: string;
    style: Style;
    /** When the sending that may run was sent, or the earliest that may. */
    firstAt: number;
    sendings: number;
    /** Whether it heard a whole answer. */
    served: boolean;
    mustBeTaken: boolean;
}

interface Waiting {
    sending: Sending;
    caller: Caller;
    /** Whether the caller still listens; it closes the connection before it sends the key again. */
    listening: boolean;
}

const maxSendings = 7;
const callerDelayMs = 3;
/** After a repair hosts need this long until they have caught up. */
const catchUpMs = 1500;
const lastStartMs = 1500;
const brand = "noel";

const styles = [Style.OneAfterTheOther, Style.OneAfterTheOther, Style.OneAfterTheOther, Style.TwoAtOnce, Style.OtherRequest];

/** Creates the callers of a case. */
export const createCallers = (options: CallersOptions): Callers => {
    const { plan, timeline, random, ledger } = options;
    const waiting = new Map<string, Waiting>();
    const deadlineMs = Math.min(2000, plan.horizonMs / 4);

    const isMended = (): boolean =>
        plan.mendedAt !== undefined && timeline.now() >= plan.mendedAt + Math.min(plan.mendedAt, catchUpMs);

    const mustTake = (caller: Caller, isFirst: boolean): boolean =>
        caller.mustBeTaken && caller.style === Style.OneAfterTheOther && (isFirst || caller.served);

    const fingerprintOf = (caller: Caller): string =>
        caller.style === Style.OtherRequest && caller.sendings > 0 && random.next() < 0.5 ? "another request" : "the request";

    const deliver = (sending: Sending, hostId: string): void => {
        options.fleet().hand(hostId, localNow => ({
            kind: ClaimEventKind.ClaimRequested,
            requestId: sending.requestId,
            brand,
            key: sending.key,
            fingerprint: sending.fingerprint,
            deadlineAt: localNow - (timeline.now() - sending.sentAt) + deadlineMs,
            firstSending: sending.isFirst,
        }));
    };

    const sendOnce = (caller: Caller): Waiting => {
        const isFirst = caller.sendings === 0 && caller.style !== Style.TwoAtOnce;
        const fingerprint = fingerprintOf(caller);
        caller.sendings += 1;
        const requestId = `${caller.key}#${caller.sendings}`;
        const mustBeTaken = mustTake(caller, isFirst);
        const sending: Sending = { requestId, key: caller.key, fingerprint, sentAt: timeline.now(), isFirst, mustBeTaken };
        const entry: Waiting = { sending, caller, listening: true };
        waiting.set(requestId, entry);
        const hostId = plan.hosts[random.below(plan.hosts.length)]!.hostId;
        timeline.after(callerDelayMs, () => deliver(sending, hostId));
        return entry;
    };

    const canSendAgain = (caller: Caller): boolean =>
        caller.sendings < maxSendings && timeline.now() < caller.firstAt + plan.horizonMs - deadlineMs;

    const act = (caller: Caller): void => {
        if (!canSendAgain(caller)) {
            return;
        }
        const entries = [sendOnce(caller)];
        if (caller.style === Style.TwoAtOnce && random.next() < 0.5) {
            entries.push(sendOnce(caller));
        }
        const patienceMs = 100 + random.below(deadlineMs);
        timeline.after(patienceMs, () => {
            for (const entry of entries) {
                entry.listening = false;
            }
            // A served caller sends again only to see that the answer is replayed.
            if (!caller.served || random.next() < 0.5) {
                timeline.after(100 + random.below(plan.horizonMs / 6), () => act(caller));
            }
        });
    };

    const start = (): void => {
        for (let index = 0; index < plan.keys; index += 1) {
            timeline.after(100 + random.below(activeMs - lastStartMs), () => {
                const style = styles[random.below(styles.length)]!;
                const mustBeTaken = isMended();
                const firstAt = timeline.now();
                act({ key: `key-${index}`, style, firstAt, sendings: 0, served: false, mustBeTaken });
            });
        }
    };

    const heard = (entry: Waiting): void => {
        entry.caller.served ||= entry.listening;
    };

    /** What the backend server does with a request that was handed to it, and what the entry host learns of it. */
    const runAtBackend = (entry: Waiting, hostId: string): void => {
        const { sending } = entry;
        const { requestId } = sending;
        const fleet = options.fleet();
        const life = fleet.lifeOf(hostId);
        const tell = (report: () => void): void =>
            timeline.after(1 + random.below(20), () => {
                if (fleet.lifeOf(hostId) === life && fleet.isUp(hostId)) {
                    report();
                }
            });
        const fate = random.next();
        if (fate < 0.1) {
            tell(() => {
                fleet.hand(hostId, () => {
                    // The caller is told when the host learns it, before the key is given back.
                    ledger.notRun(sending, entry.listening);
                    // What runs later is kept for a whole horizon of its own.
                    entry.caller.firstAt = timeline.now();
                    return { kind: ClaimEventKind.NotRun, requestId };
                });
            });
            return;
        }
        if (fate < 0.15) {
            tell(() => fleet.hand(hostId, () => ({ kind: ClaimEventKind.OutcomeUnknown, requestId })));
            return;
        }
        const serviceMs = random.next() < 0.15 ? random.below(plan.serviceMs) : 2 + random.below(30);
        timeline.after(serviceMs, () => {
            const answer = ledger.run(sending);
            if (fate < 0.25) {
                return;
            }
            tell(() => {
                fleet.hand(hostId, () => ({ kind: ClaimEventKind.Finished, requestId, answer }));
                heard(entry);
            });
        });
    };

    const onAction = (action: OwnAction, hostId: string): void => {
        const entry = waiting.get(action.requestId);
        if (entry === undefined) {
            return;
        }
        switch (action.kind) {
            case ClaimActionKind.Granted:
                ledger.granted += 1;
                runAtBackend(entry, hostId);
                return;
            case ClaimActionKind.Replay:
                ledger.replayed(entry.sending, action.answer);
                heard(entry);
                return;
            case ClaimActionKind.Refused:
                ledger.refused(entry.sending, action.refusal, entry.listening);
        }
    };

    return { start, onAction };
};
