/** Settings: derives flags, environment variables, validation, help and the reference page from one declaration. */
import { ownValue, setOwnValue } from "@cassiapick/core";
import yargs from "yargs";
import type { Argv } from "yargs";
import type { z } from "zod";
import { suggestName } from "./nearest-name.js";
import { flagOf, SettingSource, toKebab, variableOf } from "./setting-definition.js";
import type { ResolvedSetting, SettingDefinition, SettingDefinitions } from "./setting-definition.js";
import { renderSettingsSection, renderSources } from "./settings-page.js";

export type SettingValues<D extends SettingDefinitions> = { [K in keyof D]: z.infer<D[K]["schema"]>; };

/** A setting that is missing or invalid, or an unknown flag. */
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
    /** Command-line arguments, without the program's name. */
    args: string[];
    env: NodeJS.ProcessEnv;
    /** Prints the output of --help, --print-settings and --describe-settings; to standard output by default. */
    print?: (text: string) => void;
    /** Ends the program after such output; `process.exit` by default. */
    exit?: (code: number) => never;
}

/** The exit code of a program whose settings are not valid. */
export const settingsExitCode = 2;

const createErr = (setting: string, message: string): SettingErr => ({ kind: "setting-invalid", setting, message });

const invalidValueErr = (setting: ResolvedSetting, definition: SettingDefinition, reason: string): SettingErr => {
    const givenText = setting.text === undefined ? "missing" : `'${setting.text}'`;
    const settingNames = `${flagOf(setting.name)} (or ${variableOf(setting.name)})`;
    return createErr(setting.name, `${settingNames} is ${givenText}: ${reason}. It sets: ${definition.description}`);
};

const infoFlags = {
    "help": "Show this help and exit",
    "print-settings": "Show each value and its source, and exit",
    "describe-settings": "Show the reference page of the settings as Markdown, and exit",
};
type InfoFlag = keyof typeof infoFlags;

const createParser = (program: string, definitions: SettingDefinitions, args: string[]): Argv => {
    let parser: Argv = yargs(args)
        .scriptName(program)
        .usage("$0 [flags]")
        .locale("en")
        .parserConfiguration({ "camel-case-expansion": false, "boolean-negation": false, "duplicate-arguments-array": true })
        .help(false)
        .version(false)
        .exitProcess(false);
    for (const [name, definition] of Object.entries(definitions)) {
        const describe = `${definition.description} [${variableOf(name)}]`;
        parser = parser.option(toKebab(name), {
            type: "string",
            requiresArg: definition.isSwitch !== true,
            describe,
        });
    }
    for (const [flag, describe] of Object.entries(infoFlags)) {
        parser = parser.option(flag, { type: "boolean", describe });
    }
    return parser;
};

interface ParsedFlags {
    values: Record<string, unknown>;
    errs: SettingErr[];
}

const unknownFlagErr = (name: string, known: string[]): SettingErr =>
    createErr(name, `The flag '--${name}' is not known.${suggestName(name, known)} See --help.`);

const parseFlags = (parser: Argv, args: string[], definitions: SettingDefinitions): ParsedFlags => {
    const known = [...Object.keys(definitions).map(toKebab), ...Object.keys(infoFlags)];
    let parserFailure: string | undefined;
    const parsed = parser.fail(message => {
        parserFailure ??= message;
    }).parseSync(args) as Record<string, unknown>;
    const positionals = parsed._ as Array<string | number>;
    const values = Object.fromEntries(Object.entries(parsed).filter(([name]) => name !== "_" && name !== "$0"));
    const errs = [
        ...Object.keys(values).filter(name => !known.includes(name)).map(name => unknownFlagErr(name, known)),
        ...positionals.map(word =>
            createErr(String(word), `'${word}' belongs to no flag. Write settings as --flag value. See --help.`)
        ),
        ...Object.entries(values).filter(([, value]) => Array.isArray(value)).map(([name]) =>
            createErr(name, `--${name} is given more than once. Give it once.`)
        ),
    ];
    if (parserFailure !== undefined && errs.length === 0) {
        errs.push(createErr("flags", `${parserFailure}. Write settings as --flag value. See --help.`));
    }
    return { values, errs };
};

const resolveSetting = (
    name: string,
    flags: Record<string, unknown>,
    options: ReadSettingsOptions<SettingDefinitions>,
): ResolvedSetting => {
    const flag = ownValue(flags, toKebab(name));
    if (typeof flag === "string") {
        const isFlagWithoutValue = flag === "" && ownValue(options.definitions, name)!.isSwitch === true;
        return { name, source: SettingSource.Flag, text: isFlagWithoutValue ? "true" : flag };
    }
    const variable = ownValue(options.env, variableOf(name));
    if (variable !== undefined) {
        return { name, source: SettingSource.Variable, text: variable };
    }
    const hasDefault = ownValue(options.definitions, name)!.default !== undefined;
    return { name, source: hasDefault ? SettingSource.Default : SettingSource.Missing, text: undefined };
};

const printText = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

const createInfoPrinters = (
    options: ReadSettingsOptions<SettingDefinitions>,
    parser: Argv,
    resolvedSettings: ResolvedSetting[],
): Record<InfoFlag, (print: (text: string) => void) => void> => ({
    "help": print => {
        parser.showHelp(print);
    },
    "print-settings": print => {
        print(renderSources(options.definitions, resolvedSettings));
    },
    "describe-settings": print => {
        print(renderSettingsSection(options.program, options.definitions));
    },
});

/**
 * Reads and validates the settings of a program. Flags take precedence over variables, and variables over defaults.
 *
 * Handles --help, --print-settings and --describe-settings, and then exits with code 0. When the result is not `ok`, the
 * caller should print the messages and exit with {@link settingsExitCode}.
 */
export const readSettings = <D extends SettingDefinitions>(options: ReadSettingsOptions<D>): SettingsResult<D> => {
    const parser = createParser(options.program, options.definitions, options.args);
    const flags = parseFlags(parser, options.args, options.definitions);
    const errs = [...flags.errs];
    const values: Record<string, unknown> = {};
    const resolvedSettings = Object.keys(options.definitions).map(name => resolveSetting(name, flags.values, options));
    for (const setting of resolvedSettings) {
        const definition = ownValue(options.definitions, setting.name)!;
        if (setting.source === SettingSource.Default) {
            setOwnValue(values, setting.name, definition.default);
            continue;
        }
        // A mistyped flag also makes its setting appear missing; reporting both errors would mislead.
        if (setting.source === SettingSource.Missing && flags.errs.length > 0) {
            continue;
        }
        const parsed = definition.schema.safeParse(setting.text);
        if (parsed.success) {
            setOwnValue(values, setting.name, parsed.data);
        }
        else {
            errs.push(invalidValueErr(setting, definition, parsed.error.issues.map(issue => issue.message).join("; ")));
        }
    }
    const infoPrinters = createInfoPrinters(options, parser, resolvedSettings);
    const requestedInfo = (Object.keys(infoPrinters) as InfoFlag[]).find(flag => flags.values[flag] === true);
    // Invalid settings don't suppress the output; with --print-settings they are still reported after it.
    if (requestedInfo !== undefined) {
        infoPrinters[requestedInfo](options.print ?? printText);
        if (errs.length === 0 || requestedInfo !== "print-settings") {
            (options.exit ?? process.exit)(0);
        }
    }
    return errs.length > 0 ? { ok: false, errs } : { ok: true, values: values as SettingValues<D> };
};
