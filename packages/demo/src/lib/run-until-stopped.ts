/** Runs the demo's fleet until Ctrl-C and prints example commands. */
import { startDemoFleet } from "./demo-fleet.js";
import type { DemoFleet } from "./demo-fleet.js";
import { waitUntilReady } from "./run-once.js";

const renderInstructions = (fleet: DemoFleet): string => {
    const entry = fleet.entryHosts[0]!.self;
    const caller = `http://${entry.callerHost}:${entry.callerPort}`;
    const route = fleet.tables.routes.find(candidate => candidate.kind === "seat-maps")!;
    const server = fleet.servers.find(candidate => candidate.plan.service === "seat-maps")!;
    const operatorCommand = `node packages/ctl/dist/main.js`;
    const operatorArgs = fleet.operatorArgs.join(" ");
    return [
        "",
        `State hosts:     ${fleet.stateHosts.map(program => `${program.name} (process ${program.pid})`).join(", ")}`,
        `Entry hosts:     ${
            fleet.entryHosts.map(({ program, self }) =>
                `${self.hostId} at ${self.callerHost}:${self.callerPort} (process ${program.pid})`
            ).join(", ")
        }`,
        `Backend servers: ${fleet.servers.length} on 127.0.2.x, as seat-maps-1 at ${server.address} (process ${server.program.pid})`,
        `Files:           ${fleet.folder}`,
        "",
        "Get the entry host addresses to use:",
        `  curl '${caller}/.well-known/cassiapick/addresses?brand=${route.brand}&kind=seat-maps'`,
        "Send a request:",
        `  curl -i -H 'cassiapick-brand: ${route.brand}' ${caller}/seat-maps/1`,
        "Show pools and hosts:",
        `  ${operatorCommand} pools ${operatorArgs}`,
        `  ${operatorCommand} hosts ${operatorArgs}`,
        "Edit a route, show the difference, and apply it:",
        `  sed -i 's/"timeoutMs": 5000/"timeoutMs": 4000/' ${fleet.routesFile}`,
        `  ${operatorCommand} tables diff ${fleet.routesFile} ${fleet.poolsFile} ${operatorArgs}`,
        `  ${operatorCommand} tables apply ${fleet.routesFile} ${fleet.poolsFile} ${operatorArgs}`,
        "Make a backend server answer with errors, look at its pool, then clear the fault:",
        `  curl -X PUT -d '{"mode":"server-error"}' http://${server.address}/stand-in/fault`,
        `  curl -X PUT -d '{"mode":"none"}' http://${server.address}/stand-in/fault`,
        "Stop a backend server:",
        `  kill ${server.program.pid}`,
        "",
        "Ctrl-C stops everything gracefully.",
    ].join("\n");
};

/** Runs the fleet until SIGINT or SIGTERM; resolves when every process has stopped. */
export const runUntilStopped = async (): Promise<void> => {
    const fleet = await startDemoFleet();
    await waitUntilReady(fleet);
    console.log(renderInstructions(fleet));
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
