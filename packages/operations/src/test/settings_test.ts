/** Settings: sources, validation and the output of flags such as --help. */
import { expect } from "chai";
import { integerSetting, peersSetting, switchSetting, textSetting } from "../lib/setting-schemas.js";
import { readSettings } from "../lib/settings.js";

const definitions = {
    hostId: { description: "the name of this host", schema: textSetting() },
    listenPort: { description: "the port", schema: integerSetting(0, 65_535), default: 0 },
    peers: { description: "the peers", schema: peersSetting(), default: [] },
    json: { description: "print JSON", schema: switchSetting(), default: false, isSwitch: true },
};

interface ReadOutcome {
    printed: string;
    exitCode: number | undefined;
    text: string;
}

const read = (line: string, env: NodeJS.ProcessEnv = {}): ReadOutcome => {
    let printed = "";
    let exitCode: number | undefined;
    try {
        const result = readSettings({
            program: "program",
            definitions,
            args: line.split(" ").filter(arg => arg.length > 0),
            env,
            print: text => {
                printed += text;
            },
            exit: code => {
                exitCode = code;
                throw new Error("ended");
            },
        });
        return {
            printed,
            exitCode,
            text: result.ok ? JSON.stringify(result.values) : result.errs.map(err => err.message).join("\n"),
        };
    }
    catch (err) {
        return { printed, exitCode, text: (err as Error).message };
    }
};

describe("readSettings", () => {
    const cases: Array<{ line: string; env?: NodeJS.ProcessEnv; expectedText: string; }> = [
        { line: "--host-id a", expectedText: '{"hostId":"a","listenPort":0,"peers":[],"json":false}' },
        { line: "--json --host-id a", expectedText: '"json":true' },
        { line: "--host-id a --json=false", expectedText: '"json":false' },
        { line: "--host-id a --json maybe", expectedText: "is 'maybe': expected 'true' or 'false'" },
        { line: "", env: { CASSIAPICK_HOST_ID: "v" }, expectedText: '"hostId":"v"' },
        { line: "--host-id f", env: { CASSIAPICK_HOST_ID: "v" }, expectedText: '"hostId":"f"' },
        { line: "--host-id 12 --listen-port 5", expectedText: '{"hostId":"12","listenPort":5' },
        {
            line: "",
            expectedText: "--host-id (or CASSIAPICK_HOST_ID) is missing: expected a text. It sets: the name of this host",
        },
        { line: "--host-id a --listen-port 70000", expectedText: "is '70000': expected an integer from 0 to 65535" },
        { line: "--host-id a --listen-port 1e3", expectedText: "is '1e3': expected an integer" },
        { line: "--host-id a --listen-port=", expectedText: "is '': expected an integer" },
        { line: "--host-id a", env: { CASSIAPICK_LISTEN_PORT: "" }, expectedText: "is '': expected an integer" },
        { line: "--host-id a --peers b=1.2.3.4:70000", expectedText: "with a port up to 65535" },
        { line: "--host-id a --peers b=1.2.3.4:1,b=1.2.3.4:2", expectedText: "'b' is named twice" },
        { line: "--host-id a --listen-prt 5", expectedText: "'--listen-prt' is not known. Did you mean 'listen-port'?" },
        { line: "--host-id a --host-id b", expectedText: "--host-id is given more than once" },
        { line: "--host-id", expectedText: "Not enough arguments following: host-id" },
        { line: "--host-id a stray", expectedText: "'stray' belongs to no flag" },
    ];
    for (const { line, env, expectedText } of cases) {
        it(`reads '${line}'${env === undefined ? "" : ` with ${JSON.stringify(env)}`}`, () => {
            const result = read(line, env);
            expect(result.text).to.include(expectedText);
            expect(result).to.include({ printed: "", exitCode: undefined });
        });
    }

    const infoCases: Array<{ line: string; env?: NodeJS.ProcessEnv; exitCode: number | undefined; expectedText: string; }> = [
        { line: "--help", exitCode: 0, expectedText: "--listen-port" },
        {
            line: "--describe-settings",
            exitCode: 0,
            expectedText: "| `--host-id` | `CASSIAPICK_HOST_ID` | a text | required |",
        },
        {
            line: "--host-id a --print-settings",
            exitCode: 0,
            expectedText: "--host-id      a  (--host-id)\n--listen-port  0  (default)",
        },
        {
            line: "--print-settings",
            env: { CASSIAPICK_HOST_ID: "v" },
            exitCode: 0,
            expectedText: "v  (CASSIAPICK_HOST_ID)",
        },
        { line: "--print-settings", exitCode: undefined, expectedText: "(missing)" },
    ];
    for (const { line, env, exitCode, expectedText } of infoCases) {
        it(`prints for '${line}'${env === undefined ? "" : ` with ${JSON.stringify(env)}`}`, () => {
            const result = read(line, env);
            expect(result.printed).to.include(expectedText);
            expect(result.exitCode).to.equal(exitCode);
        });
    }
});
