import { Agent } from "undici";
import { z } from "zod";
import { callJson } from "./callJson.js";
import type { WeightStoreDriver } from "./weightStoreDriver.js";

const infoSchema = z.object({ sizeBytes: z.number().optional() });

/**
 * Creates a driver for a weight store served over HTTP.
 *
 * @param options - Address and the timeout of a request, in milliseconds
 * @returns the driver
 *
 * @example
 * const info = await createHttpWeightStore({ url, timeoutMs: 2000 }).describe("levy/7");
 */
export function createHttpWeightStore(
    options: { readonly url: string; readonly timeoutMs: number },
): WeightStoreDriver {
    const dispatcher = new Agent({ connectTimeout: options.timeoutMs });
    return {
        async describe(weights) {
            const signal = AbortSignal.timeout(options.timeoutMs);
            const path = `/info/${encodeURIComponent(weights)}`;
            const call = {
                dispatcher,
                origin: options.url,
                method: "GET",
                path,
                accept: [200, 404],
                schema: infoSchema,
                signal,
            } as const;
            const { body } = await callJson({ ...call, step: "describe weights", code: "upstream_failed" });
            return body.sizeBytes === undefined ? undefined : { sizeBytes: body.sizeBytes };
        },
        close: () => dispatcher.destroy(),
    };
}
