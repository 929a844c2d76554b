export {
    After,
    AfterAll,
    Before,
    Given,
    parallelCanAssignHelpers,
    setDefaultTimeout,
    setParallelCanAssign,
    setWorldConstructor,
    Then,
    When,
    World,
} from "@cucumber/cucumber";
export type { DataTable } from "@cucumber/cucumber";
export * as fc from "fast-check";
export { deepStrictEqual, notDeepStrictEqual, ok, rejects, strictEqual, throws } from "node:assert";
export { registerTable } from "./registerTable.js";
