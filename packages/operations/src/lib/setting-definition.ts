/** The definition of a setting, and the names of its flag and environment variable. */
import type { z } from "zod";

/** One setting of a program. */
export interface SettingDefinition<T = unknown> {
    /** What the setting does, with its unit. */
    description: string;
    /** Validates the text of a flag or variable and converts it to a value. */
    schema: z.ZodType<T>;
    /** The value when neither a flag nor a variable is given. A setting without a default is required. */
    default?: T;
    /** Whether the flag may be given without a value, which means "true". */
    isSwitch?: boolean;
}

export type SettingDefinitions = Record<string, SettingDefinition>;

/** The source of a setting's value. */
export enum SettingSource {
    Flag = "flag",
    Variable = "variable",
    Default = "default",
    Missing = "missing",
}

/** The source and text of one setting, before validation. */
export interface ResolvedSetting {
    name: string;
    source: SettingSource;
    /** `undefined` when the default applies or the setting is missing. */
    text: string | undefined;
}

/** Converts a camel-case name to kebab case, as in `listen-port`. */
export const toKebab = (name: string): string => name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** Returns the environment variable of a setting, as in `CASSIAPICK_LISTEN_PORT`. */
export const variableOf = (name: string): string => `CASSIAPICK_${toKebab(name).replaceAll("-", "_").toUpperCase()}`;

/** Returns the flag of a setting, as in `--listen-port`. */
export const flagOf = (name: string): string => `--${toKebab(name)}`;
