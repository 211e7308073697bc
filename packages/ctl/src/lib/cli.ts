/** Defines the command line: commands, options, help and completion. */
import { ownValue } from "@cassiapick/core";
import { peersSetting, suggestName, variableOf } from "@cassiapick/operations";
import { randomUUID } from "node:crypto";
import { userInfo } from "node:os";
import yargs from "yargs";
import type { Argv } from "yargs";
import { applyTables } from "./apply-command.js";
import { failWith } from "./command-result.js";
import type { CommandResult } from "./command-result.js";
import { showHosts, showVersions, waitForVersion } from "./fleet-commands.js";
import type { GlobalOptions } from "./global-options.js";
import { showAddresses, showPools } from "./pool-commands.js";
import { checkTables, diffWithTablesInForce, showHistory, showTables } from "./tables-commands.js";
import { parseVersion } from "./version-text.js";

const defaultTimeoutMs = 10_000;
const defaultHistoryLimit = 20;
const commandNames = ["tables", "hosts", "pools", "addresses", "completion"];
const tablesCommandNames = ["check", "apply", "show", "diff", "history", "status", "wait"];
const flagNames = [
    "state-hosts",
    "entry-hosts",
    "token-file",
    "state-token-file",
    "timeout-ms",
    "json",
    "table",
    "limit",
    "expected-version",
    "change-id",
    "author",
    "allow-removal",
    "brand",
    "kind",
];

/** The outcome of an invocation: the result of a command, or a text such as the help. */
export type CliOutcome = { kind: "result"; json: boolean; result: CommandResult; } | { kind: "text"; text: string; };

type GlobalArgs = Record<"stateHosts" | "entryHosts" | "tokenFile" | "stateTokenFile", string | undefined> & {
    timeoutMs: number;
    json: boolean;
};

const parseHosts = (flag: string, text: string | undefined): GlobalOptions["stateHosts"] => {
    const parsed = peersSetting().safeParse(text ?? "");
    if (!parsed.success) {
        throw new Error(`${flag}: ${parsed.error.issues[0]!.message}. Write it as 'id=host:port,id=host:port'.`);
    }
    return parsed.data;
};

const parseGlobalOptions = (args: GlobalArgs): GlobalOptions => {
    if (!Number.isInteger(args.timeoutMs) || args.timeoutMs < 1) {
        throw new Error("--timeout-ms expects a time in milliseconds, an integer of at least 1.");
    }
    return {
        stateHosts: parseHosts("--state-hosts", args.stateHosts),
        entryHosts: parseHosts("--entry-hosts", args.entryHosts),
        tokenFile: args.tokenFile,
        stateTokenFile: args.stateTokenFile,
        timeoutMs: args.timeoutMs,
    };
};

const addGlobalOptions = (parser: Argv, env: NodeJS.ProcessEnv): Argv<GlobalArgs> =>
    parser
        .option("state-hosts", {
            type: "string",
            default: ownValue(env, variableOf("stateHosts")),
            defaultDescription: variableOf("stateHosts"),
            describe: "State hosts, as 'id=host:port,...'",
        })
        .option("entry-hosts", {
            type: "string",
            default: ownValue(env, variableOf("entryHosts")),
            defaultDescription: variableOf("entryHosts"),
            describe: "Admin addresses of some entry hosts, as 'id=host:port,...'; the others are discovered through them",
        })
        .option("token-file", {
            type: "string",
            default: ownValue(env, variableOf("tokenFile")),
            defaultDescription: variableOf("tokenFile"),
            describe: "File whose first line is the operators' token",
        })
        .option("state-token-file", {
            type: "string",
            default: ownValue(env, variableOf("stateTokenFile")),
            defaultDescription: variableOf("stateTokenFile"),
            describe: "File whose first line is the token for state hosts, when it differs from --token-file",
        })
        .option("timeout-ms", {
            type: "number",
            default: Number(ownValue(env, variableOf("timeoutMs")) ?? defaultTimeoutMs),
            describe: "Timeout of the command, in milliseconds",
        })
        .option("json", { type: "boolean", default: false, describe: "Print JSON for scripts" }) as unknown as Argv<GlobalArgs>;

type RunCommand = (
    args: Record<string, unknown>,
    command: (options: GlobalOptions) => CommandResult | Promise<CommandResult>,
) => Promise<void>;

const addPathArgs = (parser: Argv): Argv =>
    parser
        .positional("routes", { type: "string", demandOption: true, describe: "Routes file (YAML)" })
        .positional("pools", { type: "string", demandOption: true, describe: "Pools file (YAML)" });

const pathsOf = (args: Record<string, unknown>) => ({ routes: args.routes as string, pools: args.pools as string });

const parseVersionArg = (text: string | undefined): ReturnType<typeof parseVersion> => {
    const version = text === undefined ? undefined : parseVersion(text);
    if (text !== undefined && version === undefined) {
        throw new Error(`'${text}' is not a version. Write it as 'epoch.index', as in '1.12'.`);
    }
    return version;
};

const addApplyOptions = (parser: Argv): Argv =>
    addPathArgs(parser)
        .option("expected-version", {
            type: "string",
            describe: "The version on which the files are based; the version in force by default",
        })
        .option("change-id", {
            type: "string",
            describe: "The id of an earlier change, to send it again after its answer was lost",
        })
        .option("author", { type: "string", default: userInfo().username, describe: "The author to record in the history" })
        .option("allow-removal", { type: "boolean", default: false, describe: "Apply even if rows are removed" });

const runApply = (args: Record<string, unknown>, options: GlobalOptions): Promise<CommandResult> =>
    applyTables(options, {
        ...pathsOf(args),
        changeId: (args.changeId as string | undefined) ?? randomUUID(),
        isResend: args.changeId !== undefined,
        expectedVersion: parseVersionArg(args.expectedVersion as string | undefined),
        author: args.author as string,
        allowRemoval: args.allowRemoval as boolean,
    });

const addTablesCommands = (parser: Argv, run: RunCommand): Argv =>
    parser
        .command(
            "check <routes> <pools>",
            "Check two files without contacting any host",
            addPathArgs,
            args => run(args, () => checkTables(pathsOf(args))),
        )
        .command(
            "apply <routes> <pools>",
            "Apply both files as one change",
            addApplyOptions,
            args => run(args, options => runApply(args, options)),
        )
        .command(
            "show",
            "Show the tables in force",
            builder => builder.option("table", { choices: ["routes", "pools"] as const, describe: "Show only this table" }),
            args => run(args, options => showTables(options, args.table)),
        )
        .command(
            "diff <routes> <pools>",
            "Show what applying the files would change",
            addPathArgs,
            args => run(args, options => diffWithTablesInForce(options, pathsOf(args))),
        )
        .command(
            "history",
            "Show the latest accepted changes, newest first",
            builder => builder.option("limit", { type: "number", default: defaultHistoryLimit, describe: "Number of changes" }),
            args => run(args, options => showHistory(options, args.limit)),
        )
        .command("status", "Show which hosts have which version in force", {}, args => run(args, showVersions))
        .command(
            "wait <wanted>",
            "Wait until a version is in force on all entry hosts",
            builder => builder.positional("wanted", { type: "string", demandOption: true, describe: "Version, as in '1.12'" }),
            args => run(args, options => waitForVersion(options, parseVersionArg(args.wanted)!)),
        )
        .demandCommand(1, `Name one of: ${tablesCommandNames.join(", ")}.`);

const addFleetCommands = (parser: Argv, run: RunCommand): Argv =>
    parser
        .command("hosts", "Show the hosts of the fleet", {}, args => run(args, showHosts))
        .command(
            "pools [name]",
            "Show all pools, or the members of one and why they are ejected",
            builder => builder.positional("name", { type: "string", describe: "Destination of the pool" }),
            args => run(args, options => showPools(options, args.name)),
        )
        .command(
            "addresses",
            "Show the addresses that callers receive",
            builder =>
                builder
                    .option("brand", { type: "string", demandOption: true, describe: "Brand of the caller" })
                    .option("kind", { type: "string", demandOption: true, describe: "Kind of request" }),
            args => run(args, options => showAddresses(options, args.brand, args.kind)),
        );

const addExamples = (parser: Argv): Argv =>
    parser
        .example("$0 tables check routes.yaml pools.yaml", "check two files before a change")
        .example("$0 tables diff routes.yaml pools.yaml", "see what applying them would change")
        .example("$0 tables apply routes.yaml pools.yaml", "apply them as one change")
        .example("$0 tables wait 1.12", "wait until version 1.12 is in force everywhere")
        .example("$0 pools seat-maps", "see the members of a pool and why one is ejected")
        .epilogue(
            "Exit codes: 0 done, 1 refused or lost a race, 2 wrong input, 3 no host reached, 4 not yet in force, "
                + "5 some hosts could not be asked.",
        );

const unknownPattern = /^Unknown (?:argument|command)s?: ([\w-]+)/;

/** Suggests a command or flag when an error message of yargs names an unknown one. */
const suggestFor = (message: string): string => {
    const unknown = unknownPattern.exec(message)?.[1];
    return unknown === undefined ? "" : suggestName(unknown, [...commandNames, ...tablesCommandNames, ...flagNames]);
};

/** Parses the arguments and runs the command. An error of either becomes a usage error; never throws. */
export const runCli = async (args: string[], env: NodeJS.ProcessEnv): Promise<CliOutcome> => {
    let outcome: CliOutcome | undefined;
    const run: RunCommand = async (parsed, command) => {
        const globals = parsed as unknown as GlobalArgs;
        outcome = { kind: "result", json: globals.json, result: await command(parseGlobalOptions(globals)) };
    };
    const base = addGlobalOptions(yargs(args).scriptName("cassiapick").locale("en"), env);
    const parser = addExamples(addFleetCommands(
        base.command(
            "tables",
            "Check, apply, show and compare the two tables",
            builder => addTablesCommands(builder, run),
            () => undefined,
        ),
        run,
    ))
        .demandCommand(1, `Name one of: ${commandNames.join(", ")}.`)
        .completion("completion", "Print a completion script for the shell")
        .strict()
        .version(false)
        .exitProcess(false)
        .fail(false);
    let parserOutput = "";
    try {
        await parser.parseAsync(args, {}, (_err, _argv, output) => {
            parserOutput = output;
        });
    }
    catch (err) {
        const reason = (err as Error).message;
        const message = `${reason}${suggestFor(reason)} See 'cassiapick --help'.`;
        return { kind: "result", json: args.includes("--json"), result: failWith({ kind: "usage", message }) };
    }
    return outcome ?? { kind: "text", text: parserOutput };
};
