/** The envelope of every RPC message. */

/** The kinds of envelopes. */
export enum EnvelopeKind {
    /** The first message of a connection; identifies and authenticates the sender. */
    Hello = "hello",
    Request = "request",
    Reply = "reply",
    /** A message without a reply. */
    Notice = "notice",
}

/** A message with the fields of its kind. `id` matches a reply to its request. */
export type Envelope =
    | { kind: EnvelopeKind.Hello; hostId: string; token: string; }
    | { kind: EnvelopeKind.Request; id: number; channel: string; body: unknown; }
    | { kind: EnvelopeKind.Reply; id: number; body: unknown; }
    | { kind: EnvelopeKind.Notice; channel: string; body: unknown; };

const isObject = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null;

const envelopeValidators: Record<EnvelopeKind, (value: Record<string, unknown>) => boolean> = {
    [EnvelopeKind.Hello]: value => typeof value.hostId === "string" && typeof value.token === "string",
    [EnvelopeKind.Request]: value => typeof value.id === "number" && typeof value.channel === "string",
    [EnvelopeKind.Reply]: value => typeof value.id === "number",
    [EnvelopeKind.Notice]: value => typeof value.channel === "string",
};

/** Whether a decoded value is an envelope. */
export const isEnvelope = (value: unknown): value is Envelope => {
    if (!isObject(value)) {
        return false;
    }
    const kind = Object.values(EnvelopeKind).find(candidate => candidate === value.kind);
    return kind !== undefined && envelopeValidators[kind](value);
};
