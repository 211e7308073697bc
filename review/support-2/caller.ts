/** A caller's request over a connection of its own. */
import { request } from "node:http";
import type { Fleet, Machine } from "./fleet.js";
import { record } from "./record.js";

export interface CallerRequest {
    attempt: string;
    hostname: string;
    path: string;
    method?: string;
    deadlineMs?: number;
}

export interface CallerAnswer {
    status: number;
    body: string;
}

/** Resolves with the answer, or with `undefined` if the connection ends without a complete one. */
export const ask = (fleet: Fleet, entry: Machine, req: CallerRequest): Promise<CallerAnswer | undefined> =>
    new Promise(resolve => {
        const { attempt, hostname, path, method = "GET", deadlineMs = 3000 } = req;
        const end = (answer: CallerAnswer | undefined): void => {
            record(`${attempt} answered: ${answer === undefined ? "none" : `${answer.status} ${answer.body.trim()}`}`);
            resolve(answer);
        };
        record(`${attempt} ${method} ${hostname}${path} sent to ${entry.name}`);
        const sent = request({
            host: entry.address,
            port: fleet.ports.front,
            agent: false,
            method,
            path,
            headers: { "Host": hostname, "Attempt-Id": attempt, "Request-Deadline-Ms": String(deadlineMs) },
        }, res => {
            let body = "";
            res.on("data", (chunk: Buffer) => {
                body += chunk.toString();
            });
            res.on("end", () => end({ status: res.statusCode ?? 0, body }));
            res.on("error", () => end(undefined));
        });
        sent.on("error", () => end(undefined));
        sent.end();
    });
