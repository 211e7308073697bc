/** What entry hosts tell each other about requests that may end the servers that run them. */

export enum EvidenceKind {
    /** A server has ended while it ran the request. */
    ServerEnded = 0,
    /** A server has answered the request completely, so the request does not end every server. */
    Survived = 1,
    /** A host asks for, or has, the only attempt of the fleet at a suspected request. */
    Claimed = 2,
    /** The attempt has ended, or is not wanted any more. */
    Released = 3,
}

/** `key` identifies the request by its content; ages and other times are in milliseconds. */
export type RequestEvidence =
    | { kind: EvidenceKind.ServerEnded; key: string; server: EndedServer; runMs: number; ageMs: number; }
    | { kind: EvidenceKind.Survived; key: string; ageMs: number; }
    | { kind: EvidenceKind.Claimed; key: string; token: number; remainingMs: number; isGranted: boolean; }
    /** `trials` counts the trials of a quarantined request, with the one that has just ended. */
    | { kind: EvidenceKind.Released; key: string; token: number; trials: number; };

/** A server that ended while it ran a request. */
export interface EndedServer {
    /** Number of the server's record. */
    number: number;
    service: string;
    address: string;
}

/** One {@link RequestEvidence} on the links between hosts. */
export type EvidenceRow = [kind: EvidenceKind, key: string, ...(number | string)[]];

type Encoders = { [K in EvidenceKind]: (evidence: Extract<RequestEvidence, { kind: K; }>) => EvidenceRow; };
const encoders: Encoders = {
    [EvidenceKind.ServerEnded]: ({ kind, key, server: { number, service, address }, runMs, ageMs }) => [
        kind,
        key,
        number,
        service,
        address,
        Math.round(runMs),
        Math.round(ageMs),
    ],
    [EvidenceKind.Survived]: ({ kind, key, ageMs }) => [kind, key, Math.round(ageMs)],
    [EvidenceKind.Claimed]: ({ kind, key, token, remainingMs, isGranted }) => [
        kind,
        key,
        token,
        Math.round(remainingMs),
        isGranted ? 1 : 0,
    ],
    [EvidenceKind.Released]: ({ kind, key, token, trials }) => [kind, key, token, trials],
};

/** Encodes evidence as a row. */
export const toEvidenceRow = (evidence: RequestEvidence): EvidenceRow =>
    // The encoder is looked up by the kind of the evidence, which the compiler can't follow.
    (encoders[evidence.kind] as (evidence: RequestEvidence) => EvidenceRow)(evidence);

const decoders: { [K in EvidenceKind]: (key: string, fields: readonly unknown[]) => RequestEvidence; } = {
    [EvidenceKind.ServerEnded]: (key, [number, service, address, runMs, ageMs]) => ({
        kind: EvidenceKind.ServerEnded,
        key,
        server: { number: Number(number), service: String(service), address: String(address) },
        runMs: Number(runMs),
        ageMs: Number(ageMs),
    }),
    [EvidenceKind.Survived]: (key, [ageMs]) => ({ kind: EvidenceKind.Survived, key, ageMs: Number(ageMs) }),
    [EvidenceKind.Claimed]: (key, [token, remainingMs, isGranted]) => ({
        kind: EvidenceKind.Claimed,
        key,
        token: Number(token),
        remainingMs: Number(remainingMs),
        isGranted: isGranted === 1,
    }),
    [EvidenceKind.Released]: (key, [token, trials]) => ({
        kind: EvidenceKind.Released,
        key,
        token: Number(token),
        trials: Number(trials),
    }),
};

/** Decodes a row; `undefined` if a later version sent a kind that this one does not know. */
export const fromEvidenceRow = ([kind, key, ...fields]: EvidenceRow): RequestEvidence | undefined =>
    (decoders as Partial<typeof decoders>)[kind]?.(key, fields);
