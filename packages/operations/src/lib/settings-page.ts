/** Renders the reference page of the settings, and the values of one process with their sources. */
import { ownValue } from "@cassiapick/core";
import { flagOf, SettingSource, variableOf } from "./setting-definition.js";
import type { ResolvedSetting, SettingDefinition, SettingDefinitions } from "./setting-definition.js";

const escapeCell = (text: string): string => text.replaceAll("|", "\\|").replaceAll("\n", " ");

const renderValue = (value: unknown): string => {
    const text = typeof value === "string" ? value : JSON.stringify(value);
    return text === "" || text === "[]" ? "none" : text;
};

/** Describes the accepted values of a setting, taken from the error message of its schema for a missing value. */
const describeAcceptedValues = (definition: SettingDefinition): string => {
    const parsed = definition.schema.safeParse(undefined);
    const message = parsed.success ? "a text" : parsed.error.issues.map(issue => issue.message).join("; ");
    return message.replace(/^(Invalid option: )?expected (one of )?/, "");
};

const renderRow = (name: string, definition: SettingDefinition): string => {
    const defaultText = definition.default === undefined ? "required" : renderValue(definition.default);
    const cells = [
        `\`${flagOf(name)}\``,
        `\`${variableOf(name)}\``,
        escapeCell(describeAcceptedValues(definition)),
        escapeCell(defaultText),
        escapeCell(definition.description),
    ];
    return `| ${cells.join(" | ")} |`;
};

/** Renders the section of one program for docs/SETTINGS.md, in Markdown. */
export const renderSettingsSection = (program: string, definitions: SettingDefinitions): string =>
    [
        `## ${program}`,
        "",
        "| Flag | Variable | Accepts | Default | Sets |",
        "| --- | --- | --- | --- | --- |",
        ...Object.entries(definitions).map(([name, definition]) => renderRow(name, definition)),
    ].join("\n");

const sourceLabels: Record<SettingSource, (name: string) => string> = {
    [SettingSource.Flag]: flagOf,
    [SettingSource.Variable]: variableOf,
    [SettingSource.Default]: () => "default",
    [SettingSource.Missing]: () => "missing",
};

/** Renders each setting of a process with its value and source, one per line. */
export const renderSources = (definitions: SettingDefinitions, resolvedSettings: ResolvedSetting[]): string => {
    const width = Math.max(0, ...resolvedSettings.map(({ name }) => flagOf(name).length));
    return resolvedSettings
        .map(({ name, source, text }) => {
            const value = source === SettingSource.Default ? renderValue(ownValue(definitions, name)!.default) : text ?? "";
            return `${flagOf(name).padEnd(width)}  ${value}  (${sourceLabels[source](name)})`;
        })
        .join("\n");
};
