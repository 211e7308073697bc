/** Lists what a configuration changes in the one in force. */
import type { GatewayConfig } from "../gateway/gateway-config.js";
import { ownValue } from "../own-value.js";

/** How an entry differs. */
export enum ChangeKind {
    Added = "added",
    Removed = "removed",
    Changed = "changed",
}

/** One entry that differs. */
export interface ConfigChange {
    kind: ChangeKind;
    /** The entry, such as "route 'orders'". */
    entry: string;
    /** The fields that differ with their old and new values; digests of keys are only counted. */
    fields: FieldChange[];
}

/** One field that differs; `undefined` stands for a field that is missing. */
export interface FieldChange {
    name: string;
    before: string | undefined;
    after: string | undefined;
}

type Entry = Readonly<Record<string, unknown>>;

const textOf = (value: unknown): string | undefined => {
    if (value === Infinity) {
        return "unlimited";
    }
    return value === undefined ? undefined : JSON.stringify(value);
};

/** Keys are told apart by their digests but shown by their number, so that no report holds anything that stands for a key. */
const describeKeys = (before: readonly string[], after: readonly string[]): FieldChange => {
    const added = after.filter(digest => !before.includes(digest)).length;
    const removed = before.filter(digest => !after.includes(digest)).length;
    return {
        name: "keys",
        before: `${before.length} keys`,
        after: `${after.length} keys (${added} added, ${removed} withdrawn)`,
    };
};

const changedFields = (before: Entry, after: Entry): FieldChange[] => {
    const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
    return names.filter(name => textOf(ownValue(before, name)) !== textOf(ownValue(after, name))).map(name =>
        name === "keyDigests"
            ? describeKeys(before.keyDigests as string[], after.keyDigests as string[])
            : { name, before: textOf(ownValue(before, name)), after: textOf(ownValue(after, name)) }
    );
};

const changesOf = (what: string, before: readonly Entry[], after: readonly Entry[]): ConfigChange[] => {
    const beforeByName = new Map(before.map(entry => [entry.name, entry]));
    const afterByName = new Map(after.map(entry => [entry.name, entry]));
    const entryOf = (name: unknown): string => `${what} '${String(name)}'`;
    return [
        ...[...beforeByName.keys()].filter(name => !afterByName.has(name))
            .map(name => ({ kind: ChangeKind.Removed, entry: entryOf(name), fields: [] })),
        ...[...afterByName].flatMap(([name, entry]): ConfigChange[] => {
            const known = beforeByName.get(name);
            if (known === undefined) {
                return [{ kind: ChangeKind.Added, entry: entryOf(name), fields: [] }];
            }
            const fields = changedFields(known, entry);
            return fields.length === 0 ? [] : [{ kind: ChangeKind.Changed, entry: entryOf(name), fields }];
        }),
    ];
};

const entriesOf = (values: readonly object[] | undefined): Entry[] => (values ?? []).map(value => ({ ...value }));

/** Returns what changes from `inForce` to `next`: routes, services and workspaces by name, and the limits. */
export const listConfigChanges = (inForce: GatewayConfig, next: GatewayConfig): ConfigChange[] => {
    const limitFields = changedFields({ ...inForce.limits }, { ...next.limits });
    return [
        ...changesOf("route", entriesOf(inForce.routes), entriesOf(next.routes)),
        ...changesOf("service", entriesOf(inForce.services), entriesOf(next.services)),
        ...changesOf("workspace", entriesOf(inForce.workspaces), entriesOf(next.workspaces)),
        ...(limitFields.length === 0 ? [] : [{ kind: ChangeKind.Changed, entry: "limits", fields: limitFields }]),
    ];
};
