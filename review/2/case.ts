/** Heartbeats of another writer name addresses that are none; see claim.txt. */
import { runCase } from "../lib/case.js";
import type { CaseContext, Verdict } from "../lib/case.js";
import { judgeStarved, kinds, zones } from "../lib/traffic.js";
import { heartbeatOf, sendHeartbeat } from "../lib/upstream.js";

/** No port: the highest one is 65535. */
const unreadablePort = 80_800;
/** The service that the other writer names. */
const service = "refund-desk";

const body = async (context: CaseContext): Promise<Verdict> => {
    const { fleet, record, addUpstream, makeReady } = context;
    for (const kind of kinds) {
        for (const [index, zone] of zones.entries()) {
            await addUpstream({ id: `i-${kind.service}-${index + 1}`, service: kind.service, zone });
        }
    }
    await makeReady(kinds);
    return judgeStarved(context, async () => {
        for (const [index, zone] of zones.entries()) {
            const address = `${fleet.nextAddress()}:${unreadablePort}`;
            const heartbeat = heartbeatOf({ address, service, zone, born: Date.now(), sequence: 1 });
            const isAcked = await sendHeartbeat(fleet, `i-other-writer-${index + 1}`, heartbeat);
            record(`heartbeat of another writer with the address '${address}': ${isAcked ? "acknowledged" : "refused"}`);
        }
    });
};

await runCase(2, { entryCount: 3 }, body);
