/** Schemas that validate and convert the texts of settings. */
import { z } from "zod";

const integerPattern = /^-?\d{1,16}$/;
const maxPort = 65_535;

/** An integer within an inclusive range; rejects an empty text. */
export const integerSetting = (min: number, max: number): z.ZodType<number> => {
    const error = `expected an integer from ${min} to ${max}`;
    return z.string({ error })
        .regex(integerPattern, { error, abort: true })
        .transform(Number)
        .pipe(z.int({ error }).min(min, { error }).max(max, { error }));
};

/** A non-empty text. */
export const textSetting = (): z.ZodType<string> =>
    z.string({ error: "expected a text" }).min(1, { error: "expected a text that is not empty" });

/** A boolean, "true" or "false". With `isSwitch` in its definition, the flag may be given without a value. */
export const switchSetting = (): z.ZodType<boolean> =>
    z.enum(["true", "false"], { error: "expected 'true' or 'false'" }).transform(text => text === "true");

/** One peer of the form `name=host:port`. */
export interface PeerAddress {
    hostId: string;
    host: string;
    port: number;
}

const peerPattern = /^([\w.-]+)=([\w.:-]+):(\d{1,5})$/;

/** A comma-separated list of peers, as in `state-1=127.0.0.1:7001,state-2=127.0.0.2:7001`. */
export const peersSetting = (): z.ZodType<PeerAddress[]> =>
    z.string({ error: "expected 'name=host:port' pairs separated by commas" }).transform((text, ctx) => {
        const peers: PeerAddress[] = [];
        for (const part of text.split(",").filter(piece => piece.length > 0)) {
            const match = peerPattern.exec(part);
            const port = Number(match?.[3]);
            if (match === null || port > maxPort) {
                ctx.addIssue({ code: "custom", message: `'${part}' is not 'name=host:port' with a port up to ${maxPort}` });
                return z.NEVER;
            }
            if (peers.some(peer => peer.hostId === match[1])) {
                ctx.addIssue({ code: "custom", message: `'${match[1]!}' is named twice` });
                return z.NEVER;
            }
            peers.push({ hostId: match[1]!, host: match[2]!, port });
        }
        return peers;
    });
