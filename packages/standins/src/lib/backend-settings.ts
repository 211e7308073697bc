/** Declares the settings of the backend stand-in. */
import { integerSetting, textSetting } from "@cassiapick/operations";

const maxPort = 65_535;

/** Every setting of `backend-stand-in`. */
export const backendSettings = {
    id: { description: "the unique name of the backend server", schema: textSetting() },
    listenHost: { description: "the IP address to listen on", schema: textSetting() },
    listenPort: { description: "the port; 0 lets the system choose", schema: integerSetting(0, maxPort), default: 0 },
    region: { description: "the region of the backend server", schema: textSetting() },
    availabilityZone: { description: "the availability zone of the backend server", schema: textSetting() },
    services: { description: "the services of the backend server, separated by commas", schema: textSetting() },
    slots: { description: "the number of requests that it runs concurrently", schema: integerSetting(1, 10_000), default: 3 },
    serviceMs: { description: "the time that a request takes, in milliseconds", schema: integerSetting(0, 600_000), default: 5 },
    bodyBytes: {
        description: "the size of the filler in each answer, in bytes",
        schema: integerSetting(0, 1_073_741_824),
        default: 200,
    },
    entryHosts: { description: "admin addresses of entry hosts, as 'host:port' separated by commas", schema: textSetting() },
    announceTokenFile: { description: "the file with the tokens of backend servers", schema: textSetting() },
};
