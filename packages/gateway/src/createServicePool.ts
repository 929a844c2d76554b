import { createHttpService } from "@fulmarcleat/drivers";
import type { ServiceDriver } from "@fulmarcleat/drivers";

/** Drivers of plain services, one per URL. */
export interface ServicePool {
    /** Returns the driver of a URL; it is created on first use. */
    find(url: string): ServiceDriver;
    /** Closes all drivers and their connections. */
    close(): Promise<void>;
}

/**
 * Creates a pool of service drivers, each created on first use.
 *
 * @param connectTimeoutMs - Time limit for opening a connection, in milliseconds
 * @returns an empty pool
 *
 * @example
 * const answer = await createServicePool(1000).find(url).call(call);
 */
export function createServicePool(connectTimeoutMs: number): ServicePool {
    const drivers = new Map<string, ServiceDriver>();
    return {
        find(url) {
            const existing = drivers.get(url);
            if (existing !== undefined) {
                return existing;
            }
            const created = createHttpService({ url, connectTimeoutMs });
            drivers.set(url, created);
            return created;
        },
        async close() {
            await Promise.all([...drivers.values()].map(driver => driver.close()));
        },
    };
}
