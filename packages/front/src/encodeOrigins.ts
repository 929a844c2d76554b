import { brandId } from "@fulmarcleat/ids";
import type { RequestId } from "@fulmarcleat/ids";
import { textSchema } from "@fulmarcleat/platform";
import type { StreamOrigin, StreamRecord } from "@fulmarcleat/wire";
import { decode, encode } from "cbor-x";
import * as z from "zod";

/** Streams that began at one software version of a service; ids in hexadecimal are kept as bytes. */
const groupSchema = z.object({
    service: textSchema,
    softwareVersion: textSchema.optional(),
    ids: z.array(z.union([textSchema, z.instanceof(Uint8Array)])),
});
const originsSchema = z.object({ groups: z.array(groupSchema) });

const HEXADECIMAL = /^(?:[0-9a-f]{2})+$/;

/**
 * Encodes where streams began, as CBOR; an id in hexadecimal takes half as many bytes as it has digits.
 *
 * @param records - Streams with their service and software version
 * @returns the bytes
 *
 * @example
 * store.change({ expect: [], puts: [{ key, value: encodeOrigins(records), lease }], removes: [] });
 */
export function encodeOrigins(records: readonly StreamRecord[]): Buffer {
    const groups = new Map<string, { service: string; softwareVersion?: string; ids: (string | Buffer)[] }>();
    for (const { requestId, service, softwareVersion } of records) {
        const name = JSON.stringify([service, softwareVersion]);
        const group = groups.get(name)
            ?? { service, ...(softwareVersion === undefined ? {} : { softwareVersion }), ids: [] };
        group.ids.push(HEXADECIMAL.test(requestId) ? Buffer.from(requestId, "hex") : requestId);
        groups.set(name, group);
    }
    return encode({ groups: [...groups.values()] });
}

/**
 * Decodes where streams began. Other writers may have stored anything.
 *
 * @param value - Bytes of the store
 * @returns the origin of each stream by the id of its first request; undefined if the bytes are not of this format
 *
 * @example
 * decodeOrigins(item.value)?.get(requestId);
 */
export function decodeOrigins(value: Buffer): ReadonlyMap<RequestId, StreamOrigin> | undefined {
    const parsed = originsSchema.safeParse(decodeCbor(value));
    if (!parsed.success) {
        return undefined;
    }
    return new Map(parsed.data.groups.flatMap(({ service, softwareVersion, ids }) => {
        const origin: StreamOrigin = {
            service: brandId(service),
            softwareVersion: softwareVersion === undefined ? undefined : brandId(softwareVersion),
        };
        return ids.map(id => {
            const text = typeof id === "string" ? id : Buffer.from(id).toString("hex");
            return [brandId<RequestId>(text), origin] as const;
        });
    }));
}

function decodeCbor(value: Buffer): unknown {
    try {
        return decode(value);
    }
    catch {
        // The caller logs the key of bytes that can't be decoded.
        return undefined;
    }
}
