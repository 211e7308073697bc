/** One announcement of another writer, in a state that no page names: does the operator still reach the configuration? */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { ports, sleep, startFleet, waitUntilReady } from "../support-3/fleet.js";
import type { Fleet } from "../support-3/fleet.js";
import { call } from "../support-3/http-call.js";
import { documentOf, putConfiguration, readVersions } from "../support-3/operator.js";
import type { RouteRow } from "../support-3/operator.js";
import { startRecord } from "../support-3/record.js";
import { startUpstream, succeed } from "../support-3/upstream.js";

const isTroubled = process.env.TROUBLE !== "0";
const folder = `${dirname(fileURLToPath(import.meta.url))}/../../../11`;
const record = startRecord(folder);

const routes: RouteRow[] = [["r-1", "h1.example", "/a/", "unsafe", 2.5, 1, 0, "s1", 2, null]];
/** A sender of announcements moves on to the next host after this time without an acknowledgement, in milliseconds. */
const announceTimeoutMs = 1000;
const readTimeoutMs = 2000;
/** The hosts are left alone for this long after the announcement, in milliseconds: far longer than `contactS`. */
const quietMs = 15_000;
/** The configuration is asked for at all hosts, again and again, for this long, in milliseconds: `contactS` at least. */
const readForMs = 20_000;
const readGapMs = 1000;
/** A whole number, as each start time is, but of no process. */
const startOfNoProcess = Number.MIN_SAFE_INTEGER;

/** How often the announcement is made, and how long after the time before, in milliseconds: `heartbeatS` of the settings. */
const announcements = 4;
const heartbeatMs = 1500;

/** Sends the announcement as a server does: to one state host, and to the next one without an acknowledgement. */
const announceForeign = async ({ states, network }: Fleet, sequence: number): Promise<void> => {
    const body = JSON.stringify({
        address: `${network}.200:8500`,
        born: startOfNoProcess,
        info: { backend: "s1", version: "v1", zone: "zone-a", slots: 3 },
        status: { state: "constructor", sequence, warmupLeftS: 0 },
    });
    record.add(`another writer announces ${body}`);
    for (const { name, address } of states) {
        const result = await call(address, ports.control, "/cassiapick/Instances.Heartbeat/i-foreign", {
            method: "POST",
            headers: { "Content-Type": "application/json" },
            body,
            timeoutMs: announceTimeoutMs,
        });
        record.add(`${name} answers the announcement: ${result.error ?? String(result.status)}`);
        if (result.isComplete && result.status === 200) {
            return;
        }
    }
};

/** Asks all hosts for the configuration, again and again; returns whether one returned `version`, or a later one without a clear answer. */
const readBack = async (fleet: Fleet, version: number): Promise<boolean> => {
    const until = performance.now() + readForMs;
    let isRead = false;
    while (performance.now() < until && !isRead) {
        const versions = await readVersions(fleet, readTimeoutMs);
        record.add(`read back: ${versions.join(", ")}`);
        isRead = versions.some(text => /^r\d+$/u.test(text) && Number(text.slice(1)) >= version);
        await sleep(readGapMs);
    }
    return isRead;
};

const main = async (): Promise<number> => {
    const fleet = startFleet(3, 2, record);
    const upstream = await startUpstream(fleet, "s1", 1, succeed);
    try {
        const first = await putConfiguration(fleet, documentOf(1, routes, ["s1"]), { tries: 40, timeoutMs: 1000 });
        if (!first.isAcknowledged || !await waitUntilReady(fleet, 15_000) || !await readBack(fleet, 1)) {
            record.add("the fleet did not start");
            return 2;
        }
        record.add("version r1 is acknowledged and read back");
        for (let sequence = 1; isTroubled && sequence <= announcements; sequence += 1) {
            await Promise.all([announceForeign(fleet, sequence), sleep(heartbeatMs)]);
        }
        await sleep(quietMs);
        const second = await putConfiguration(fleet, documentOf(2, routes, ["s1"]), { tries: 12, timeoutMs: 1000 });
        record.add(
            `version r2: ${second.isAcknowledged ? "acknowledged" : `not acknowledged (${second.last})`}, ${second.tries} tries`,
        );
        const isRead = await readBack(fleet, second.isAcknowledged ? 2 : 1);
        const ownEnds = [...fleet.states, ...fleet.entries].reduce((sum, host) => sum + host.ownEnds, 0);
        record.add(`${ownEnds} processes ended; the newest acknowledged version ${isRead ? "was" : "was not"} read back`);
        return isRead ? 0 : 1;
    }
    finally {
        upstream.stop();
        await fleet.end();
    }
};

process.exit(await main());
