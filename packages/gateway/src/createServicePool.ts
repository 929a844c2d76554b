import { createHttpService } from "@fulmarcleat/drivers";
import type { ServiceDriver } from "@fulmarcleat/drivers";

/** Drivers of plain services, one for each url. */
export interface ServicePool {
    find(url: string): ServiceDriver;
    close(): Promise<void>;
}

/**
 * Creates the drivers of plain services, each on its first use.
 *
 * @param connectTimeoutMs - Longest wait for a connection, in milliseconds
 * @returns the drivers
 *
 * @example
 * const answer = await createServicePool(1000).find(url).call(call);
 */
export function createServicePool(connectTimeoutMs: number): ServicePool {
    const drivers = new Map<string, ServiceDriver>();
    return {
        find(url) {
            const present = drivers.get(url);
            if (present !== undefined) {
                return present;
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
