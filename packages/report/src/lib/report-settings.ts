/** Settings of `cassiapick-report`. */
import { integerSetting, peersSetting, switchSetting, textSetting } from "@cassiapick/operations";
import type { SettingValues } from "@cassiapick/operations";
import { z } from "zod";
import { targetSchema } from "./objectives.js";

const maxTimeoutMs = 600_000;
const optionalText = (): z.ZodType<string> => z.string({ error: "expected a path" });

/** Definitions of all settings. */
export const reportSettings = {
    entryHosts: {
        description: "admin addresses of some entry hosts, as 'name=host:port'; the others are discovered through them",
        schema: peersSetting(),
    },
    tokenFile: { description: "the file whose first line is the operators' token", schema: textSetting() },
    objectives: { description: "the file with the objectives of destinations (YAML)", schema: optionalText(), default: "" },
    target: {
        description: "the required share of good requests for destinations without an objective of their own",
        schema: z.string({ error: "expected a share above 0 and below 1" }).transform(Number).pipe(targetSchema),
        default: 0.999,
    },
    slowIsBad: {
        description: "whether late answers spend the budget of destinations without an objective of their own",
        schema: switchSetting(),
        default: true,
        isSwitch: true,
    },
    keep: {
        description: "a file that stores counts between runs, so that fewer are lost when a host restarts",
        schema: optionalText(),
        default: "",
    },
    svg: { description: "the SVG file to write the report to", schema: optionalText(), default: "" },
    json: { description: "whether to print JSON for scripts", schema: switchSetting(), default: false, isSwitch: true },
    timeoutMs: {
        description: "timeout of the request to one host, in milliseconds",
        schema: integerSetting(1, maxTimeoutMs),
        default: 5000,
    },
};

export type ReportSettings = SettingValues<typeof reportSettings>;
