/** Settings of the report. */
import { integerSetting, peersSetting, switchSetting, textSetting } from "@cassiapick/operations";
import type { SettingValues } from "@cassiapick/operations";
import { z } from "zod";
import { targetSchema } from "./objectives.js";

const maxTimeoutMs = 600_000;
const optionalText = (): z.ZodType<string> => z.string({ error: "expected a path" });

/** Every setting of `cassiapick-report`. */
export const reportSettings = {
    entryHosts: {
        description: "admin addresses of some entry hosts, as 'name=host:port'; the others are learnt from them",
        schema: peersSetting(),
    },
    tokenFile: { description: "the file whose first line is the operators' token", schema: textSetting() },
    objectives: { description: "the file with the objectives of destinations (YAML)", schema: optionalText(), default: "" },
    target: {
        description: "the share of good requests that a destination without an objective of its own promises",
        schema: z.string({ error: "expected a share above 0 and below 1" }).transform(Number).pipe(targetSchema),
        default: 0.999,
    },
    slowIsBad: {
        description: "whether late answers spend the budget of a destination without an objective of its own",
        schema: switchSetting(),
        default: true,
        isSwitch: true,
    },
    keep: {
        description: "a file that keeps counts between runs, so that a host's restart loses less of them",
        schema: optionalText(),
        default: "",
    },
    svg: { description: "a file to draw the report into", schema: optionalText(), default: "" },
    json: { description: "whether to print JSON for scripts", schema: switchSetting(), default: false, isSwitch: true },
    timeoutMs: {
        description: "how long one host may take to answer, in milliseconds",
        schema: integerSetting(1, maxTimeoutMs),
        default: 5000,
    },
};

export type ReportSettings = SettingValues<typeof reportSettings>;
