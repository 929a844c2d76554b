import { brandId } from "@fulmarcleat/ids";
import type { FailureDomain, HostId } from "@fulmarcleat/ids";
import { Agent } from "undici";
import { z } from "zod";
import { callJson } from "./callJson.js";
import type { HostListDriver } from "./hostListDriver.js";

const listSchema = z.object({
    hosts: z.array(z.object({
        host: z.string().transform(text => brandId<HostId>(text)),
        address: z.string(),
        port: z.int(),
        failureDomain: z.string().transform(text => brandId<FailureDomain>(text)),
        state: z.enum(["live", "leaving"]),
    })),
});

/**
 * Creates a driver for a host list served as JSON over HTTP.
 *
 * @param options - Address and the timeout of a request, in milliseconds
 * @returns the driver
 *
 * @example
 * const hosts = await createHttpHostList({ url, timeoutMs: 2000 }).list();
 */
export function createHttpHostList(options: { readonly url: string; readonly timeoutMs: number }): HostListDriver {
    const dispatcher = new Agent({ connectTimeout: options.timeoutMs });
    return {
        async list() {
            const signal = AbortSignal.timeout(options.timeoutMs);
            const call = {
                dispatcher,
                origin: options.url,
                method: "GET",
                path: "/hosts",
                accept: [200],
                schema: listSchema,
                signal,
            } as const;
            return (await callJson({ ...call, step: "list hosts", code: "peer_failed" })).body.hosts;
        },
        close: () => dispatcher.destroy(),
    };
}
