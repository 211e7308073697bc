/** Requests that wait for room at an entry host, and what admission decides about them. */

/** What admission needs to know about a request. Times are in milliseconds of the host's clock. */
export interface AdmissionRequest {
    /** Identifies the request by its content, under whatever id it is sent. */
    requestKey: string;
    route: string;
    /** 0 is the most urgent. */
    priority: number;
    workspace?: string;
    /** Latency objective; a later answer is worth less to the caller. */
    objectiveMs: number;
    arrivedAt: number;
    deadlineAt: number;
}

/** What an entry host knows about the room of one service. */
export interface ServiceRoom {
    /** Slots of the servers that take requests and answer them; 0 if there is no such server. */
    slots: number;
    /** Average number of slots of these servers. */
    slotsPerServer: number;
    /**
     * Requests beyond the slots of the server with most room; negative while it has a free slot. It is a fraction where the load
     * is estimated, and `Infinity` while no server takes requests.
     */
    excess: number;
}

/** Why a request is refused before it was sent to a server. */
export enum AdmissionRefusal {
    /** The requests that go before it take all the room that is left until its deadline. */
    NoRoomInTime = "no-room-in-time",
    /** It waited until too little time was left for an answer. */
    Expired = "expired",
    /** Its caller repeated it before the time that the last refusal named. */
    RepeatedTooEarly = "repeated-too-early",
    /** The host holds as many waiting requests as it may. */
    QueueFull = "queue-full",
}

/** A decision about a request that was waiting. */
export type AdmissionDecision<T extends AdmissionRequest> =
    | { kind: "send"; req: T; waitedMs: number; }
    | { kind: "refuse"; req: T; waitedMs: number; retryAfterMs: number; refusal: AdmissionRefusal; };
