/** Declares the settings of an entry host. */
import { integerSetting, LogFormat, peersSetting, textSetting } from "@cassiapick/operations";
import type { SettingValues } from "@cassiapick/operations";
import { z } from "zod";

const maxPort = 65_535;

/** Every setting of `cassiapick-entry`. */
export const entrySettings = {
    hostId: { description: "the unique name of this entry host", schema: textSetting() },
    region: { description: "the region of this host", schema: textSetting() },
    availabilityZone: { description: "the availability zone of this host", schema: textSetting() },
    listenHost: { description: "the IP address to listen on and to be reached at", schema: textSetting() },
    callerPort: { description: "the port for callers; 0 lets the system choose", schema: integerSetting(0, maxPort), default: 0 },
    adminPort: {
        description: "the port for backend servers and operators; 0 lets the system choose",
        schema: integerSetting(0, maxPort),
        default: 0,
    },
    fleetPort: {
        description: "the port for other entry hosts; 0 lets the system choose",
        schema: integerSetting(0, maxPort),
        default: 0,
    },
    seeds: {
        description: "entry hosts to contact first in order to join the fleet, as 'name=host:port' of their fleet ports",
        schema: peersSetting(),
        default: [],
    },
    stateHosts: { description: "the state hosts, as 'name=host:port'", schema: peersSetting() },
    fleetTokenFile: { description: "the file with the tokens of the fleet's hosts", schema: textSetting() },
    announceTokenFile: { description: "the file with the tokens of backend servers", schema: textSetting() },
    operatorTokenFile: { description: "the file with the tokens of operators", schema: textSetting() },
    addressValidityMs: {
        description: "how long callers may cache an address answer, in milliseconds",
        schema: integerSetting(100, 600_000),
        default: 5000,
    },
    maxBodyBytes: {
        description: "the largest request body, in bytes",
        schema: integerSetting(0, 1_073_741_824),
        default: 8_388_608,
    },
    bufferBytes: {
        description:
            "answers up to this many bytes are buffered completely before they are sent to the caller; larger ones are streamed",
        schema: integerSetting(0, 67_108_864),
        default: 1_048_576,
    },
    logFormat: {
        description: "the format of the log: 'text' or 'json'",
        schema: z.enum(LogFormat, { error: "expected 'text' or 'json'" }),
        default: LogFormat.Text,
    },
};

/** Values of the settings of an entry host. */
export type EntrySettings = SettingValues<typeof entrySettings>;
