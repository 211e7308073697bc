#!/usr/bin/env node
/** Command-line entry point of `backend-stand-in`: runs one backend server until SIGTERM or SIGINT, then prints its counts. */
import { readSettings, readTokenFile } from "@cassiapick/operations";
import { backendSettings } from "./lib/backend-settings.js";
import { startBackendStandIn } from "./lib/backend-stand-in.js";

const result = readSettings({
    program: "backend-stand-in",
    definitions: backendSettings,
    args: process.argv.slice(2),
    env: process.env,
});
if (!result.ok) {
    console.error(result.errs.map(err => err.message).join("\n"));
    process.exit(2);
}
const settings = result.values;
const standIn = await startBackendStandIn({
    id: settings.id,
    host: settings.listenHost,
    port: settings.listenPort,
    region: settings.region,
    availabilityZone: settings.availabilityZone,
    services: settings.services.split(","),
    slots: settings.slots,
    serviceMs: settings.serviceMs,
    entryHosts: settings.entryHosts.split(","),
    announceToken: readTokenFile(settings.announceTokenFile).current,
    echoesAttemptId: true,
    bodyBytes: settings.bodyBytes,
});
console.log(JSON.stringify({ listening: { id: settings.id, host: standIn.host, port: standIn.port } }));

const stop = (): void => {
    void standIn.leave().then(() => {
        console.log(JSON.stringify({ counts: standIn.counts() }));
        process.exit(0);
    });
};
process.once("SIGTERM", stop);
process.once("SIGINT", stop);
