import type { HostId } from "@fulmarcleat/ids";

/**
 * Moves hosts with faster links to the front; hosts with equal ones, or whose links are unknown, stay in their order.
 *
 * @param ranked - The hosts, the preferred one first
 * @param hosts - Rates of their links, in Mbit/s
 * @returns the hosts in their new order
 *
 * @example
 * preferFastLinks(["host-1", "host-2"], [{ host: "host-1", linkMbps: 7 }, { host: "host-2", linkMbps: 140 }]);
 */
export function preferFastLinks(
    ranked: readonly HostId[],
    hosts: readonly { readonly host: HostId; readonly linkMbps?: number | undefined }[],
): readonly HostId[] {
    const rates = new Map(hosts.map(({ host, linkMbps }) => [host, linkMbps ?? 0]));
    return [...ranked].sort((a, b) => (rates.get(b) ?? 0) - (rates.get(a) ?? 0));
}
