import { registerTable } from "@fulmarcleat/testing";
import { createZipf } from "./createZipf.js";

registerTable("createZipf", (count: number, exponent: number, numbers: readonly number[]) => {
    let next = -1;
    const draw = createZipf(count, exponent, () => {
        next += 1;
        return numbers[next] ?? 0;
    });
    return numbers.map(() => draw());
});
