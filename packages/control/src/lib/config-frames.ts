/** The latest configuration as frames for entry hosts: the difference to what a host holds, computed and encoded once for all of them. */
import { diffConfig, LinkMessageKind } from "@cassiapick/core";
import type { ConfigNumber, GatewayConfig, LinkMessage } from "@cassiapick/core";
import { encodeCompactFrame } from "@cassiapick/wire";

/** A message and its encoded frame. */
export interface ConfigFrame {
    message: LinkMessage;
    frame: Uint8Array;
}

/** The frames of one state host. */
export interface ConfigFrames {
    /** Records the latest configuration. */
    setLatest(config: GatewayConfig): void;
    /** Returns what turns the configuration with `heldNumber` (`undefined`: none) into the latest one: a difference, or the whole if that is unknown here. */
    frameFor(heldNumber: ConfigNumber | undefined): ConfigFrame;
}

/** Recent configurations are retained, so that a host that reattaches needs only the difference. */
const maxRetainedConfigs = 8;
/** The routes of all retained configurations; one before the latest is retained in any case, as most hosts hold it. */
const maxRetainedRoutes = 60_000;
const minRetainedConfigs = 2;

/** Creates the frames of a state host without a configuration; `frameFor` may be called after the first `setLatest`. */
export const createConfigFrames = (): ConfigFrames => {
    const retainedConfigs = new Map<ConfigNumber, GatewayConfig>();
    /** The frames to the latest configuration by the number that a host holds; `undefined` stands for all unknown numbers. */
    const frames = new Map<ConfigNumber | undefined, ConfigFrame>();
    let latest: GatewayConfig | undefined;

    const isTooMuch = (): boolean => {
        const routes = [...retainedConfigs.values()].reduce((sum, config) => sum + config.routes.length, 0);
        return retainedConfigs.size > maxRetainedConfigs
            || (retainedConfigs.size > minRetainedConfigs && routes > maxRetainedRoutes);
    };

    const messageFor = (config: GatewayConfig, base: GatewayConfig | undefined): LinkMessage =>
        base === undefined
            ? { k: LinkMessageKind.Config, config }
            : { k: LinkMessageKind.ConfigDelta, delta: diffConfig(base, config) };

    return {
        setLatest: config => {
            if (config.number === latest?.number) {
                return;
            }
            latest = config;
            frames.clear();
            retainedConfigs.set(config.number, config);
            while (isTooMuch()) {
                retainedConfigs.delete(retainedConfigs.keys().next().value!);
            }
        },
        frameFor: heldNumber => {
            const base = heldNumber === undefined ? undefined : retainedConfigs.get(heldNumber);
            const known = frames.get(base?.number);
            if (known !== undefined) {
                return known;
            }
            const message = messageFor(latest!, base);
            const created = { message, frame: encodeCompactFrame(message) };
            frames.set(base?.number, created);
            return created;
        },
    };
};
