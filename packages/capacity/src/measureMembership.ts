import type { ListedHost } from "@fulmarcleat/drivers";
import { createHasher, rankByRendezvous } from "@fulmarcleat/hashing";
import { brandId } from "@fulmarcleat/ids";
import type { FailureDomain, HostId } from "@fulmarcleat/ids";
import { mergeHostList } from "@fulmarcleat/membership";
import type { Member } from "@fulmarcleat/membership";
import type { CapacityMeasure } from "./capacityMeasure.js";
import { createMeasure } from "./createMeasure.js";
import { measureCpu } from "./measureCpu.js";
import { measureHeap } from "./measureHeap.js";

/** Numbers of hosts at which the host list is measured. */
const HOST_SIZES = [8, 200, 1900] as const;
/** Numbers of engines at which the ranking is measured. */
const ENGINE_SIZES = [10, 1000, 10_000] as const;
/** Number of host list merges whose processor time is averaged. */
const CALLS = 20;
/** Total number of engines to rank at each size, which decides the number of calls. */
const RANKED_ENGINES = 200_000;
/** Number of failure domains among which the hosts are distributed. */
const FAILURE_DOMAINS = 9;
/** Port of the first host. */
const FIRST_PORT = 7000;

/**
 * Measures the cost of the host list by the number of hosts, and of ranking engines by their number.
 *
 * @returns the processor time of merging a host list, its heap, and the processor time of ranking the engines once
 *
 * @example
 * const measures = await measureMembership();
 */
export async function measureMembership(): Promise<readonly CapacityMeasure[]> {
    const hash = await createHasher();
    return [
        createMeasure({ name: "membership: host list taken in", size: "hosts", unit: "us" }, HOST_SIZES, measureMerge),
        createMeasure(
            { name: "membership: heap", size: "hosts", unit: "bytes" },
            HOST_SIZES,
            hosts => measureHeap(() => mergeHostList([], listHosts(hosts), 0)),
        ),
        createMeasure(
            { name: "placement: engines ranked for an adapter", size: "engines", unit: "us" },
            ENGINE_SIZES,
            engines => {
                const ids = Array.from({ length: engines }, (unused, at) => `engine-${at}`);
                return measureCpu(
                    RANKED_ENGINES / engines,
                    call => void rankByRendezvous(hash, `adapter-${call}`, ids),
                );
            },
        ),
    ];
}

function measureMerge(hosts: number): number {
    const listed = listHosts(hosts);
    let members: readonly Member[] = mergeHostList([], listed, 0);
    return measureCpu(CALLS, call => {
        members = mergeHostList(members, listed, call);
    });
}

function listHosts(hosts: number): readonly ListedHost[] {
    return Array.from({ length: hosts }, (unused, at) => ({
        host: brandId<HostId>(`entry-${at}`),
        address: "127.0.0.1",
        port: FIRST_PORT + at,
        failureDomain: brandId<FailureDomain>(`domain-${at % FAILURE_DOMAINS}`),
        state: "live" as const,
    }));
}
