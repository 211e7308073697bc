/** Reports about backend servers between the hosts of a simulated fleet. */
import type { FakeTimeline } from "./fake-timeline.js";
import type { SimulatedHost } from "./lost-path-scenario.js";
import { zoneDelay } from "./simulated-site.js";

/** Sends what `host` observed: everything to hosts of its availability zone, and failures to the others. */
export const exchangeReports = (host: SimulatedHost, hosts: readonly SimulatedHost[], timeline: FakeTimeline): void => {
    const reports = host.pool.drainReports(timeline.now());
    const failures = reports.filter(report => report.failures > 0);
    for (const other of hosts) {
        const sent = other.zone === host.zone ? reports : failures;
        if (other === host || sent.length === 0) {
            continue;
        }
        timeline.after(2 * zoneDelay(host.zone, other.zone), () =>
            sent.forEach(report =>
                other.zone === host.zone
                    ? other.pool.applyReport(host.hostId, report, timeline.now())
                    : other.pool.applyRemoteFailures(report, timeline.now())
            ));
    }
};
