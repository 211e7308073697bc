/** The envelope of every frame. */

export enum EnvelopeKind {
    /** Opens a connection and proves who the sender is. */
    Hello = "hello",
    Request = "request",
    Reply = "reply",
    /** A message that wants no reply. */
    Notice = "notice",
}

export type Envelope =
    | { kind: EnvelopeKind.Hello; hostId: string; token: string; }
    | { kind: EnvelopeKind.Request; id: number; channel: string; body: unknown; }
    | { kind: EnvelopeKind.Reply; id: number; body: unknown; }
    | { kind: EnvelopeKind.Notice; channel: string; body: unknown; };

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === "object" && value !== null;

const checks: Record<EnvelopeKind, (value: Record<string, unknown>) => boolean> = {
    [EnvelopeKind.Hello]: value => typeof value.hostId === "string" && typeof value.token === "string",
    [EnvelopeKind.Request]: value => typeof value.id === "number" && typeof value.channel === "string",
    [EnvelopeKind.Reply]: value => typeof value.id === "number",
    [EnvelopeKind.Notice]: value => typeof value.channel === "string",
};

/** Whether a decoded frame is an envelope. */
export const isEnvelope = (value: unknown): value is Envelope => {
    if (!isRecord(value)) {
        return false;
    }
    const kind = Object.values(EnvelopeKind).find(known => known === value.kind);
    return kind !== undefined && checks[kind](value);
};
