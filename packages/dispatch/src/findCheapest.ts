/**
 * Finds the item with the lowest cost; the first one where several have it.
 *
 * @param items - The items
 * @param estimateCost - Gives an item's cost
 * @returns the item, or undefined where there is none
 *
 * @example
 * findCheapest([3, 1, 2], n => n); // 1
 */
export function findCheapest<Item>(
    items: readonly Item[],
    estimateCost: (item: Item, index: number) => number,
): Item | undefined {
    let best: { readonly item: Item; readonly cost: number } | undefined;
    items.forEach((item, index) => {
        const cost = estimateCost(item, index);
        if (best === undefined || cost < best.cost) {
            best = { item, cost };
        }
    });
    return best?.item;
}
