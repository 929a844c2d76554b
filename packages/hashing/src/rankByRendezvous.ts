import type { Hasher } from "./createHasher.js";

/**
 * Ranks nodes for a key by rendezvous hashing, so that the removal of a node moves only the keys of that node.
 *
 * @param hash - Hash function, the same in all processes
 * @param key - Name of the item that is placed
 * @param nodes - Ids of the candidate nodes
 * @returns the node ids, the preferred node first
 *
 * @example
 * const owner = rankByRendezvous(hash, engineId, hostIds)[0];
 */
export function rankByRendezvous<Id extends string>(hash: Hasher, key: string, nodes: readonly Id[]): readonly Id[] {
    return nodes
        .map(node => ({ node, score: hash(`${key}\u0000${node}`) }))
        .sort((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))
        .map(ranked => ranked.node);
}
