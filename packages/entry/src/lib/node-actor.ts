/** The actor that owns the decisions of one entry host. */
import type { EntryAction, EntryEvent, EntryNode } from "@cassiapick/core";
import { dispatch, spawn, start, stop } from "nact";

/** Options of {@link createNodeActor}. */
export interface NodeActorOptions {
    node: EntryNode;
    now: () => number;
    /** Carries out the actions, in order. */
    perform: (action: EntryAction) => void;
    /** A fault of this program; the event that met it is dropped and the host goes on. */
    onFault: (err: Error, event: EntryEvent) => void;
}

/** The mailbox of one entry host's decisions. */
export interface NodeActor {
    send(event: EntryEvent): void;
    stop(): void;
}

/** Starts the actor. */
export const createNodeActor = (options: NodeActorOptions): NodeActor => {
    const system = start();

    const handle = (event: EntryEvent): void => {
        try {
            for (const action of options.node.step(event, options.now())) {
                options.perform(action);
            }
        }
        catch (err) {
            options.onFault(err as Error, event);
        }
    };

    let waiting: EntryEvent[] = [];

    const handleWaiting = (): undefined => {
        const events = waiting;
        waiting = [];
        for (const event of events) {
            handle(event);
        }
        return undefined;
    };

    const actor = spawn(system, (_state: undefined, _wake: undefined) => handleWaiting(), "entry-node");

    const send = (event: EntryEvent): void => {
        // The mailbox hands over one message a turn of the event loop, and under load a turn serves many sockets. So one
        // message stands for all the events that have come until it is handled.
        if (waiting.push(event) === 1) {
            dispatch(actor, undefined);
        }
    };

    return {
        send,
        stop: () => stop(system),
    };
};
