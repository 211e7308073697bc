/** Fills in the template of the settings from the fields that the platform gives a process. */

/** Fields of the platform, by their names; tables are objects. */
export type Fields = Readonly<Record<string, unknown>>;

const valueAt = (fields: Fields, path: string): unknown =>
    path.split(".").reduce<unknown>(
        (value, name) => typeof value === "object" && value !== null ? (value as Fields)[name] : undefined,
        fields,
    );

const textOf = (value: unknown): string => {
    if (value === undefined || value === null) {
        return "";
    }
    if (Array.isArray(value)) {
        return value.map(String).join(",");
    }
    return typeof value === "string" ? value : JSON.stringify(value);
};

/** Replaces `{{a.b}}` by the value and `{{a.b|json}}` by its JSON. */
export const fillTemplate = (template: string, fields: Fields): string =>
    template.replace(/\{\{([^}|]+)(\|json)?\}\}/gu, (_match, path: string, json: string | undefined) => {
        const value = valueAt(fields, path);
        return json === undefined ? textOf(value) : JSON.stringify(value ?? null);
    });
