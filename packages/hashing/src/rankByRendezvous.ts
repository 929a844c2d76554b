import type { Hasher } from "./createHasher.js";

/**
 * Orders nodes for a key so that a lost node moves only its own keys.
 *
 * @param hash - The shared hash function
 * @param key - What is placed
 * @param nodes - Ids of the candidates
 * @returns the candidates, first choice first
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
