/** Actor that runs the entry node, the decision logic of one entry host, one event at a time. */
import type { EntryAction, EntryEvent, EntryNode } from "@cassiapick/core";
import { dispatch, spawn, start, stop } from "nact";

/** Options of {@link createNodeActor}. */
export interface NodeActorOptions {
    node: EntryNode;
    /** Monotonic time in milliseconds. */
    now: () => number;
    /** Runs one action that the node returned for an event; called in the order in which the node returned them. */
    runAction: (action: EntryAction) => void;
    /** Called when the node throws on an event or `runAction` throws; the actor continues with the next action or event. */
    onInternalError: (err: Error, event: EntryEvent) => void;
}

/** The actor that runs an entry node. */
export interface NodeActor {
    send(event: EntryEvent): void;
    /** Stops the actor; it handles no events that are sent afterwards. */
    stop(): void;
}

/** Starts the actor. */
export const createNodeActor = (options: NodeActorOptions): NodeActor => {
    const system = start();

    const attempt = <T>(event: EntryEvent, step: () => T): T | undefined => {
        try {
            return step();
        }
        catch (err) {
            options.onInternalError(err as Error, event);
            return undefined;
        }
    };

    const handleEvent = (event: EntryEvent): void => {
        const actions = attempt(event, () => options.node.step(event, options.now())) ?? [];
        for (const action of actions) {
            // Later actions may answer other requests, so they run also after one that fails.
            attempt(event, () => options.runAction(action));
        }
    };

    let queuedEvents: EntryEvent[] = [];

    const handleQueuedEvents = (): undefined => {
        const events = queuedEvents;
        queuedEvents = [];
        for (const event of events) {
            handleEvent(event);
        }
        return undefined;
    };

    const actor = spawn(system, (_state: undefined, _wake: undefined) => handleQueuedEvents(), "entry-node");

    const send = (event: EntryEvent): void => {
        // The mailbox delivers one message per turn of the event loop, and under load one turn serves many sockets. One
        // message therefore covers all events that are queued until it is handled.
        if (queuedEvents.push(event) === 1) {
            dispatch(actor, undefined);
        }
    };

    return {
        send,
        stop: () => stop(system),
    };
};
