/** What a setting is, and the names that it goes by. */
import type { z } from "zod";

/** One setting of a program. */
export interface SettingDefinition<T = unknown> {
    /** What it does, with its unit. */
    description: string;
    /** Checks the text of a flag or variable and turns it into a value. */
    schema: z.ZodType<T>;
    /** The value when neither a flag nor a variable is given; without one the setting is required. */
    default?: T;
    /** Whether the flag may stand alone, which means "true". */
    isSwitch?: boolean;
}

export type SettingDefinitions = Record<string, SettingDefinition>;

/** Where the value of a setting came from. */
export enum SettingSource {
    Flag = "flag",
    Variable = "variable",
    Default = "default",
    Missing = "missing",
}

/** The text that was found for a setting; `undefined` when its default holds or it is missing. */
export interface FoundSetting {
    name: string;
    source: SettingSource;
    text: string | undefined;
}

/** A name as in a flag without its hyphens, as in `listen-port`. */
export const toKebab = (name: string): string => name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** The environment variable of a setting, as in `CASSIAPICK_LISTEN_PORT`. */
export const variableOf = (name: string): string => `CASSIAPICK_${toKebab(name).replaceAll("-", "_").toUpperCase()}`;

/** The flag of a setting, as in `--listen-port`. */
export const flagOf = (name: string): string => `--${toKebab(name)}`;
