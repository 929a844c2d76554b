import * as z from "zod";

/** One settings key with its allowed values. */
export interface SettingDescription {
    /** Path of the key, such as `kv.url`. */
    readonly key: string;
    /** Description of the allowed values. */
    readonly allowed: string;
    readonly required: boolean;
    /** Default value as JSON; undefined if there is none. */
    readonly byDefault: string | undefined;
}

/** The JSON Schema keywords that settings schemas use. */
interface JsonSchema {
    readonly type?: string;
    readonly properties?: Readonly<Record<string, JsonSchema>>;
    readonly items?: JsonSchema;
    readonly required?: readonly string[];
    readonly default?: unknown;
    readonly enum?: readonly unknown[];
    readonly minimum?: number;
    readonly maximum?: number;
    readonly minLength?: number;
    readonly format?: string;
    readonly pattern?: string;
}

/**
 * Describes every key of a settings schema by its allowed values and default.
 *
 * @param schema - Schema of the settings
 * @returns one description per key, in the schema's order
 *
 * @example
 * describeSettings(gatewaySettingsSchema).map(entry => entry.key);
 */
export function describeSettings(schema: z.ZodType): readonly SettingDescription[] {
    return describeObject(z.toJSONSchema(schema, { io: "input", unrepresentable: "any" }) as JsonSchema, "", true);
}

function describeObject(schema: JsonSchema, prefix: string, isRequired: boolean): readonly SettingDescription[] {
    return Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
        const key = `${prefix}${name}`;
        const required = isRequired && (schema.required ?? []).includes(name);
        if (property.properties !== undefined) {
            return describeObject(property, `${key}.`, required);
        }
        const byDefault = property.default === undefined ? undefined : JSON.stringify(property.default);
        return [{ key, allowed: describeAllowed(property), required, byDefault }];
    });
}

function describeAllowed(schema: JsonSchema): string {
    if (schema.enum !== undefined) {
        return schema.enum.map(value => JSON.stringify(value)).join(" or ");
    }
    switch (schema.type) {
        case "integer":
            return `whole number${describeRange(schema)}`;
        case "number":
            return `number${describeRange(schema)}`;
        case "string":
            return describeString(schema);
        case "array":
            return `list of ${schema.items === undefined ? "values" : describeAllowed(schema.items)}`;
        case "boolean":
            return "true or false";
        case undefined:
        default:
            return schema.type ?? "any value";
    }
}

function describeRange({ minimum, maximum }: JsonSchema): string {
    const from = minimum === undefined || minimum <= Number.MIN_SAFE_INTEGER ? "" : ` from ${minimum}`;
    const to = maximum === undefined || maximum >= Number.MAX_SAFE_INTEGER ? "" : ` to ${maximum}`;
    return `${from}${to}`;
}

function describeString(schema: JsonSchema): string {
    if (schema.format === "uri") {
        return "address such as http://127.0.0.1:2379";
    }
    if (schema.pattern !== undefined) {
        return `text that matches ${schema.pattern}`;
    }
    return (schema.minLength ?? 0) > 1 ? `text of at least ${schema.minLength} characters` : "text";
}
