/** Settings: one declaration yields flags, environment variables, checks and help. */
import yargs from "yargs";
import { z } from "zod";

/** One setting of a program. */
export interface SettingDefinition<T = unknown> {
    /** What it does, with its unit. */
    description: string;
    /** Checks the text of a flag or variable and turns it into a value. */
    schema: z.ZodType<T>;
    /** The value when neither a flag nor a variable is given; without one the setting is required. */
    default?: T;
}

export type SettingDefinitions = Record<string, SettingDefinition>;
export type SettingValues<D extends SettingDefinitions> = { [K in keyof D]: z.infer<D[K]["schema"]>; };

/** A setting that is missing or does not pass its check. */
export interface SettingErr {
    kind: "setting-invalid";
    setting: string;
    message: string;
}

export type SettingsResult<D extends SettingDefinitions> = { ok: true; values: SettingValues<D>; } | {
    ok: false;
    errs: SettingErr[];
};

/** Options of {@link readSettings}. */
export interface ReadSettingsOptions<D extends SettingDefinitions> {
    program: string;
    definitions: D;
    /** Arguments without the program's name. */
    args: string[];
    env: NodeJS.ProcessEnv;
}

const toKebab = (name: string): string => name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** The environment variable of a setting, as in `CASSIAPICK_LISTEN_PORT`. */
export const variableOf = (name: string): string => `CASSIAPICK_${toKebab(name).replaceAll("-", "_").toUpperCase()}`;

/** The flag of a setting, as in `--listen-port`. */
export const flagOf = (name: string): string => `--${toKebab(name)}`;

const explain = (name: string, definition: SettingDefinition, found: string | undefined, reason: string): SettingErr => ({
    kind: "setting-invalid",
    setting: name,
    message: `${flagOf(name)} (or ${variableOf(name)}) is ${
        found === undefined ? "missing" : `'${found}'`
    }: ${reason}. It sets: ${definition.description}`,
});

/** Reads and checks the settings of a program. Flags go before variables, and variables before defaults. */
export const readSettings = <D extends SettingDefinitions>(options: ReadSettingsOptions<D>): SettingsResult<D> => {
    const names = Object.keys(options.definitions);
    let parser = yargs(options.args).scriptName(options.program).strict().exitProcess(true);
    for (const name of names) {
        parser = parser.option(toKebab(name), { type: "string", describe: options.definitions[name]!.description });
    }
    const flags = parser.parseSync() as Record<string, string | undefined>;
    const errs: SettingErr[] = [];
    const values: Record<string, unknown> = {};
    for (const name of names) {
        const definition = options.definitions[name]!;
        const found = flags[toKebab(name)] ?? options.env[variableOf(name)];
        if (found === undefined && definition.default !== undefined) {
            values[name] = definition.default;
            continue;
        }
        const parsed = definition.schema.safeParse(found);
        if (parsed.success) {
            values[name] = parsed.data;
        }
        else {
            errs.push(explain(name, definition, found, parsed.error.issues.map(issue => issue.message).join("; ")));
        }
    }
    return errs.length > 0 ? { ok: false, errs } : { ok: true, values: values as SettingValues<D> };
};

/** An integer within a range, both ends included. */
export const integerSetting = (min: number, max: number): z.ZodType<number> =>
    z.coerce.number({ error: `expected an integer from ${min} to ${max}` })
        .int({ error: `expected an integer from ${min} to ${max}` })
        .min(min, { error: `expected an integer from ${min} to ${max}` })
        .max(max, { error: `expected an integer from ${min} to ${max}` });

/** A text that is not empty. */
export const textSetting = (): z.ZodType<string> =>
    z.string({ error: "expected a text" }).min(1, { error: "expected a text that is not empty" });

/** A list of `name=host:port` separated by commas. */
export interface PeerAddress {
    hostId: string;
    host: string;
    port: number;
}

const peerPattern = /^([\w.-]+)=([\w.:-]+):(\d{1,5})$/;

/** Peers of the fleet, as in `state-1=127.0.0.1:7001,state-2=127.0.0.2:7001`. */
export const peersSetting = (): z.ZodType<PeerAddress[]> =>
    z.string({ error: "expected 'name=host:port' pairs separated by commas" }).transform((text, ctx) => {
        const peers: PeerAddress[] = [];
        for (const part of text.split(",").filter(piece => piece.length > 0)) {
            const match = peerPattern.exec(part);
            if (match === null) {
                ctx.addIssue({ code: "custom", message: `'${part}' is not 'name=host:port'` });
                return z.NEVER;
            }
            peers.push({ hostId: match[1]!, host: match[2]!, port: Number(match[3]) });
        }
        return peers;
    });
