/** The entry hosts that listen to one state host: what each holds, and what it is told next. */
import { diffConfig, HostRole, LinkMessageKind, toServerRow } from "@cassiapick/core";
import type {
    EntryHello,
    FleetMachine,
    GatewayConfig,
    HostAnnouncement,
    LinkMessage,
    ReportRow,
    StateHostContact,
} from "@cassiapick/core";
import { encodeCompactFrame } from "@cassiapick/wire";
import type { Link } from "@cassiapick/wire";

/** What a state host tells its entry hosts. */
export interface Briefing {
    fleet: FleetMachine;
    config: GatewayConfig | undefined;
    contacts: StateHostContact[];
    entryHosts: number;
}

/** The entry hosts that listen. */
export interface EntryLinks {
    open(link: Link, hello: EntryHello, now: number): HostAnnouncement;
    /** Names the host of a link; `undefined` for a link that has not said hello. */
    hostOf(link: Link): HostAnnouncement | undefined;
    /** Notes a new phase; returns what the host says of itself now. */
    setPhase(link: Link, phase: HostAnnouncement["state"]): HostAnnouncement | undefined;
    close(link: Link): HostAnnouncement | undefined;
    /** Sends each host what it lacks. */
    brief(briefing: Briefing, now: number): void;
    /** Tells every host how old the view may be. */
    tellView(ageMs: number): void;
    takeReport(link: Link, rows: readonly ReportRow[]): void;
    /** Passes reports on that have come since the last call; returns the outcomes among them. */
    passReports(): ReportRow[];
    /** Passes on outcomes that other state hosts sent. */
    passOutcomes(rows: readonly ReportRow[]): void;
    size(): number;
}

interface Listener {
    key: number;
    /** When it began to listen, in milliseconds. */
    since: number;
    host: HostAnnouncement;
    configNumber: number;
    serversRevision: number;
    contactsText: string;
    rows: ReportRow[];
}

/** Configurations that were in force lately are kept, so that a host that comes back needs only the difference. */
const maxKeptConfigs = 8;

/** How long a host is given to move to a nearer state host, in milliseconds: a round trip, its next check and a connection. */
const moveMs = 350;

/** Creates an empty book of a state host in `availabilityZone`. */
export const createEntryLinks = (availabilityZone: string): EntryLinks => {
    const listeners = new Map<Link, Listener>();
    const kept = new Map<number, GatewayConfig>();
    let nextKey = 1;

    const keep = (config: GatewayConfig): void => {
        kept.set(config.number, config);
        if (kept.size > maxKeptConfigs) {
            kept.delete(kept.keys().next().value!);
        }
    };

    const configMessage = (listener: Listener, config: GatewayConfig): LinkMessage => {
        const base = kept.get(listener.configNumber);
        return base === undefined
            ? { k: LinkMessageKind.Config, config }
            : { k: LinkMessageKind.ConfigDelta, delta: diffConfig(base, config) };
    };

    /** A host that will move to a state host of its own availability zone is told nothing more until then. */
    const willMove = (listener: Listener, contacts: readonly StateHostContact[], now: number): boolean =>
        now - listener.since < moveMs && listener.host.availabilityZone !== availabilityZone
        && contacts.some(contact => contact.availabilityZone === listener.host.availabilityZone);

    const brief = ({ fleet, config, contacts, entryHosts }: Briefing, now: number): void => {
        if (config !== undefined) {
            keep(config);
        }
        const contactsText = JSON.stringify([contacts, entryHosts]);
        const revision = fleet.serversRevision();
        for (const [link, listener] of listeners) {
            if (contactsText !== listener.contactsText) {
                link.send({ k: LinkMessageKind.Contacts, contacts, entryHosts } satisfies LinkMessage);
                listener.contactsText = contactsText;
            }
            if (willMove(listener, contacts, now)) {
                continue;
            }
            // A host serves waiting requests with a new configuration at once, so the servers go first.
            if (revision > listener.serversRevision) {
                const rows = fleet.serversChangedSince(listener.serversRevision).map(toServerRow);
                link.send({ k: LinkMessageKind.Servers, rows, revision } satisfies LinkMessage);
                listener.serversRevision = revision;
            }
            if (config !== undefined && config.number > listener.configNumber) {
                link.send(configMessage(listener, config));
                listener.configNumber = config.number;
            }
        }
    };

    const broadcast = (message: LinkMessage): void => {
        const frame = encodeCompactFrame(message);
        for (const link of listeners.keys()) {
            link.sendFrame(frame);
        }
    };

    const passReports = (): ReportRow[] => {
        const reporting = [...listeners.values()].filter(listener => listener.rows.length > 0);
        if (reporting.length === 0) {
            return [];
        }
        for (const [link, listener] of listeners) {
            const h = reporting.filter(other => other !== listener).map((
                other,
            ): [number, ReportRow[]] => [other.key, other.rows]);
            if (h.length > 0) {
                link.send({ k: LinkMessageKind.RelayedReports, h } satisfies LinkMessage);
            }
        }
        const outcomes = reporting.flatMap(listener => listener.rows.filter(([, , failures]) => failures > 0));
        for (const listener of reporting) {
            listener.rows = [];
        }
        return outcomes;
    };

    return {
        open: (link, hello, now) => {
            const { hostId, address, availabilityZone, region, startedAt, phase, configNumber, serversRevision } = hello;
            const host = { hostId, role: HostRole.Entry, address, availabilityZone, region, startedAt, state: phase };
            listeners.set(link, {
                key: nextKey,
                since: now,
                host,
                configNumber,
                serversRevision,
                contactsText: "",
                rows: [],
            });
            nextKey += 1;
            return host;
        },
        hostOf: link => listeners.get(link)?.host,
        setPhase: (link, phase) => {
            const listener = listeners.get(link);
            if (listener !== undefined) {
                listener.host = { ...listener.host, state: phase };
            }
            return listener?.host;
        },
        close: link => {
            const listener = listeners.get(link);
            if (listener === undefined) {
                return undefined;
            }
            listeners.delete(link);
            broadcast({ k: LinkMessageKind.HostLeft, h: listener.key });
            // The host may listen again already, on a newer link.
            const listens = [...listeners.values()].some(other => other.host.hostId === listener.host.hostId);
            return listens ? undefined : listener.host;
        },
        brief,
        tellView: ageMs => broadcast({ k: LinkMessageKind.ViewAge, ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : -1 }),
        takeReport: (link, rows) => {
            listeners.get(link)?.rows.push(...rows);
        },
        passReports,
        passOutcomes: rows => {
            if (rows.length > 0) {
                broadcast({ k: LinkMessageKind.RemoteOutcomes, r: [...rows] });
            }
        },
        size: () => listeners.size,
    };
};
