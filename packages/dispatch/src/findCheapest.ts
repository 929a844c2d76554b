/**
 * Finds the item with the lowest cost; ties go to the first.
 *
 * @param items - Items to compare
 * @param estimateCost - Returns the cost of an item; called once per item
 * @returns the item, or undefined if `items` is empty
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
