/** Runs the demo's fleet until Ctrl-C and says what to try. */
import { startDemoFleet } from "./demo-fleet.js";
import type { DemoFleet } from "./demo-fleet.js";
import { waitUntilReady } from "./run-once.js";

const describe = (fleet: DemoFleet): string => {
    const entry = fleet.entries[0]!.self;
    const caller = `http://${entry.callerHost}:${entry.callerPort}`;
    const route = fleet.tables.routes.find(candidate => candidate.kind === "seat-maps")!;
    const server = fleet.servers.find(candidate => candidate.plan.service === "seat-maps")!;
    const operator = `node packages/ctl/dist/main.js`;
    const args = fleet.operatorArgs.join(" ");
    return [
        "",
        `State hosts:     ${fleet.states.map(program => `${program.name} (process ${program.pid})`).join(", ")}`,
        `Entry hosts:     ${
            fleet.entries.map(({ program, self }) =>
                `${self.hostId} at ${self.callerHost}:${self.callerPort} (process ${program.pid})`
            ).join(", ")
        }`,
        `Backend servers: ${fleet.servers.length} on 127.0.2.x, as seat-maps-1 at ${server.address} (process ${server.program.pid})`,
        `Files:           ${fleet.folder}`,
        "",
        "Ask which addresses to use:",
        `  curl '${caller}/.well-known/cassiapick/addresses?brand=${route.brand}&kind=seat-maps'`,
        "Send a request:",
        `  curl -i -H 'cassiapick-brand: ${route.brand}' ${caller}/seat-maps/1`,
        "See pools and hosts:",
        `  ${operator} pools ${args}`,
        `  ${operator} hosts ${args}`,
        "Edit a route, see what would change, and apply it:",
        `  sed -i 's/"timeoutMs": 5000/"timeoutMs": 4000/' ${fleet.routesFile}`,
        `  ${operator} tables diff ${fleet.routesFile} ${fleet.poolsFile} ${args}`,
        `  ${operator} tables apply ${fleet.routesFile} ${fleet.poolsFile} ${args}`,
        "Make a backend server answer with errors, then look at its pool; then mend it:",
        `  curl -X PUT -d '{"mode":"server-error"}' http://${server.address}/stand-in/fault`,
        `  curl -X PUT -d '{"mode":"none"}' http://${server.address}/stand-in/fault`,
        "Stop a backend server:",
        `  kill ${server.program.pid}`,
        "",
        "Ctrl-C stops everything gracefully.",
    ].join("\n");
};

/** Runs until SIGINT or SIGTERM; resolves when every process has stopped. */
export const runUntilStopped = async (): Promise<void> => {
    const fleet = await startDemoFleet();
    await waitUntilReady(fleet);
    console.log(describe(fleet));
    process.removeAllListeners("SIGINT");
    process.removeAllListeners("SIGTERM");
    await new Promise<void>(resolve => {
        process.once("SIGINT", () => resolve());
        process.once("SIGTERM", () => resolve());
    });
    console.log("demo: stopping");
    await fleet.stop();
    console.log("demo: stopped");
};
