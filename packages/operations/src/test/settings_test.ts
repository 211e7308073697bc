/** Settings: sources, checks and the answers to flags such as --help. */
import { expect } from "chai";
import { integerSetting, peersSetting, switchSetting, textSetting } from "../lib/setting-schemas.js";
import { readSettings } from "../lib/settings.js";

const definitions = {
    hostId: { description: "the name of this host", schema: textSetting() },
    listenPort: { description: "the port", schema: integerSetting(0, 65_535), default: 0 },
    peers: { description: "the peers", schema: peersSetting(), default: [] },
    json: { description: "print JSON", schema: switchSetting(), default: false, isSwitch: true },
};

interface Read {
    printed: string;
    exitCode: number | undefined;
    text: string;
}

const read = (line: string, env: NodeJS.ProcessEnv = {}): Read => {
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
    const cases: Array<{ line: string; env?: NodeJS.ProcessEnv; says: string; }> = [
        { line: "--host-id a", says: '{"hostId":"a","listenPort":0,"peers":[],"json":false}' },
        { line: "--json --host-id a", says: '"json":true' },
        { line: "--host-id a --json=false", says: '"json":false' },
        { line: "--host-id a --json maybe", says: "is 'maybe': expected 'true' or 'false'" },
        { line: "", env: { CASSIAPICK_HOST_ID: "v" }, says: '"hostId":"v"' },
        { line: "--host-id f", env: { CASSIAPICK_HOST_ID: "v" }, says: '"hostId":"f"' },
        { line: "--host-id 12 --listen-port 5", says: '{"hostId":"12","listenPort":5' },
        { line: "", says: "--host-id (or CASSIAPICK_HOST_ID) is missing: expected a text. It sets: the name of this host" },
        { line: "--host-id a --listen-port 70000", says: "is '70000': expected an integer from 0 to 65535" },
        { line: "--host-id a --listen-port 1e3", says: "is '1e3': expected an integer" },
        { line: "--host-id a --listen-port=", says: "is '': expected an integer" },
        { line: "--host-id a", env: { CASSIAPICK_LISTEN_PORT: "" }, says: "is '': expected an integer" },
        { line: "--host-id a --peers b=1.2.3.4:70000", says: "with a port up to 65535" },
        { line: "--host-id a --peers b=1.2.3.4:1,b=1.2.3.4:2", says: "'b' is named twice" },
        { line: "--host-id a --listen-prt 5", says: "'--listen-prt' is not known. Did you mean 'listen-port'?" },
        { line: "--host-id a --host-id b", says: "--host-id is given more than once" },
        { line: "--host-id", says: "Not enough arguments following: host-id" },
        { line: "--host-id a stray", says: "'stray' belongs to no flag" },
    ];
    for (const { line, env, says } of cases) {
        it(`reads '${line}'${env === undefined ? "" : ` with ${JSON.stringify(env)}`}`, () => {
            const result = read(line, env);
            expect(result.text).to.include(says);
            expect(result).to.include({ printed: "", exitCode: undefined });
        });
    }

    const answers: Array<{ line: string; env?: NodeJS.ProcessEnv; exitCode: number | undefined; prints: string; }> = [
        { line: "--help", exitCode: 0, prints: "--listen-port" },
        { line: "--describe-settings", exitCode: 0, prints: "| `--host-id` | `CASSIAPICK_HOST_ID` | a text | required |" },
        {
            line: "--host-id a --print-settings",
            exitCode: 0,
            prints: "--host-id      a  (--host-id)\n--listen-port  0  (default)",
        },
        { line: "--print-settings", env: { CASSIAPICK_HOST_ID: "v" }, exitCode: 0, prints: "v  (CASSIAPICK_HOST_ID)" },
        { line: "--print-settings", exitCode: undefined, prints: "(missing)" },
    ];
    for (const { line, env, exitCode, prints } of answers) {
        it(`answers '${line}'${env === undefined ? "" : ` with ${JSON.stringify(env)}`}`, () => {
            const result = read(line, env);
            expect(result.printed).to.include(prints);
            expect(result.exitCode).to.equal(exitCode);
        });
    }
});
