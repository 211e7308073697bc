/** Settings: one declaration yields flags, environment variables, checks, help and the reference page. */
import yargs from "yargs";
import type { Argv } from "yargs";
import type { z } from "zod";
import { suggestName } from "./nearest-name.js";
import { flagOf, SettingSource, toKebab, variableOf } from "./setting-definition.js";
import type { FoundSetting, SettingDefinition, SettingDefinitions } from "./setting-definition.js";
import { renderSettingsSection, renderSources } from "./settings-page.js";

export type SettingValues<D extends SettingDefinitions> = { [K in keyof D]: z.infer<D[K]["schema"]>; };

/** A setting that is missing or does not pass its check, or a flag that is not known. */
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
    /** Writes the answer to --help, --print-settings and --describe-settings; standard output by default. */
    print?: (text: string) => void;
    /** Ends the program after such an answer; the process by default. */
    exit?: (code: number) => never;
}

/** The exit code of a program whose settings are not valid. */
export const settingsExitCode = 2;

const createErr = (setting: string, message: string): SettingErr => ({ kind: "setting-invalid", setting, message });

const explain = (found: FoundSetting, definition: SettingDefinition, reason: string): SettingErr => {
    const given = found.text === undefined ? "missing" : `'${found.text}'`;
    const place = `${flagOf(found.name)} (or ${variableOf(found.name)})`;
    return createErr(found.name, `${place} is ${given}: ${reason}. It sets: ${definition.description}`);
};

const answerFlags = {
    "help": "Show this help and end",
    "print-settings": "Show each value and where it came from, and end",
    "describe-settings": "Show the reference page of the settings as Markdown, and end",
};
type AnswerFlag = keyof typeof answerFlags;

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
    for (const [flag, describe] of Object.entries(answerFlags)) {
        parser = parser.option(flag, { type: "boolean", describe });
    }
    return parser;
};

interface ParsedFlags {
    values: Record<string, unknown>;
    errs: SettingErr[];
}

const unknownErr = (name: string, known: string[]): SettingErr =>
    createErr(name, `The flag '--${name}' is not known.${suggestName(name, known)} See --help.`);

const parseFlags = (parser: Argv, args: string[], definitions: SettingDefinitions): ParsedFlags => {
    const known = [...Object.keys(definitions).map(toKebab), ...Object.keys(answerFlags)];
    let failure: string | undefined;
    const parsed = parser.fail(message => {
        failure ??= message;
    }).parseSync(args) as Record<string, unknown>;
    const words = parsed._ as Array<string | number>;
    const values = Object.fromEntries(Object.entries(parsed).filter(([name]) => name !== "_" && name !== "$0"));
    const errs = [
        ...Object.keys(values).filter(name => !known.includes(name)).map(name => unknownErr(name, known)),
        ...words.map(word =>
            createErr(String(word), `'${word}' belongs to no flag. Write settings as --flag value. See --help.`)
        ),
        ...Object.entries(values).filter(([, value]) => Array.isArray(value)).map(([name]) =>
            createErr(name, `--${name} is given more than once. Give it once.`)
        ),
    ];
    if (failure !== undefined && errs.length === 0) {
        errs.push(createErr("flags", `${failure}. Write settings as --flag value. See --help.`));
    }
    return { values, errs };
};

const findSetting = (
    name: string,
    flags: Record<string, unknown>,
    options: ReadSettingsOptions<SettingDefinitions>,
): FoundSetting => {
    const flag = flags[toKebab(name)];
    if (typeof flag === "string") {
        const standsAlone = flag === "" && options.definitions[name]!.isSwitch === true;
        return { name, source: SettingSource.Flag, text: standsAlone ? "true" : flag };
    }
    const variable = options.env[variableOf(name)];
    if (variable !== undefined) {
        return { name, source: SettingSource.Variable, text: variable };
    }
    const hasDefault = options.definitions[name]!.default !== undefined;
    return { name, source: hasDefault ? SettingSource.Default : SettingSource.Missing, text: undefined };
};

const printText = (text: string): void => {
    process.stdout.write(`${text}\n`);
};

const createAnswers = (
    options: ReadSettingsOptions<SettingDefinitions>,
    parser: Argv,
    found: FoundSetting[],
): Record<AnswerFlag, (print: (text: string) => void) => void> => ({
    "help": print => {
        parser.showHelp(print);
    },
    "print-settings": print => {
        print(renderSources(options.definitions, found));
    },
    "describe-settings": print => {
        print(renderSettingsSection(options.program, options.definitions));
    },
});

/**
 * Reads and checks the settings of a program. Flags go before variables, and variables before defaults.
 *
 * Answers --help, --print-settings and --describe-settings itself and ends the program with code 0 afterwards. A program
 * whose result is not `ok` writes the messages and ends with {@link settingsExitCode}.
 */
export const readSettings = <D extends SettingDefinitions>(options: ReadSettingsOptions<D>): SettingsResult<D> => {
    const parser = createParser(options.program, options.definitions, options.args);
    const flags = parseFlags(parser, options.args, options.definitions);
    const errs = [...flags.errs];
    const values: Record<string, unknown> = {};
    const found = Object.keys(options.definitions).map(name => findSetting(name, flags.values, options));
    for (const setting of found) {
        const definition = options.definitions[setting.name]!;
        if (setting.source === SettingSource.Default) {
            values[setting.name] = definition.default;
            continue;
        }
        // A flag that was mistyped makes its setting look missing; naming both would mislead.
        if (setting.source === SettingSource.Missing && flags.errs.length > 0) {
            continue;
        }
        const parsed = definition.schema.safeParse(setting.text);
        if (parsed.success) {
            values[setting.name] = parsed.data;
        }
        else {
            errs.push(explain(setting, definition, parsed.error.issues.map(issue => issue.message).join("; ")));
        }
    }
    const answers = createAnswers(options, parser, found);
    const asked = (Object.keys(answers) as AnswerFlag[]).find(flag => flags.values[flag] === true);
    // A wrong setting must not hide the help, but it does make --print-settings fail after it was printed.
    if (asked !== undefined) {
        answers[asked](options.print ?? printText);
        if (errs.length === 0 || asked !== "print-settings") {
            (options.exit ?? process.exit)(0);
        }
    }
    return errs.length > 0 ? { ok: false, errs } : { ok: true, values: values as SettingValues<D> };
};
