import { Then } from "@cucumber/cucumber";
import { deepStrictEqual } from "node:assert";

/** Result of a call that throws, as a table row states it. */
interface ThrownCode {
    readonly throws: string;
}

/**
 * Registers the step `NAME of ARGS gives RESULT` for tables of test cases. RESULT is JSON, `undefined`, or
 * `{"throws":CODE}` with the code or message of the expected error.
 *
 * @param name - Name of the function under test, as written in the feature file
 * @param call - Function under test; its arguments are the items of the JSON array ARGS
 * @returns nothing
 *
 * @example
 * registerTable("addSeconds", addSeconds); // Then addSeconds of [1, 2] gives 3
 */
export function registerTable<Args extends readonly unknown[]>(name: string, call: (...args: Args) => unknown): void {
    Then(new RegExp(`^${name} of (.*) gives (.*)$`), (argsText: string, resultText: string) => {
        const args = JSON.parse(argsText) as unknown as Args;
        const expected = resultText === "undefined" ? undefined : JSON.parse(resultText) as unknown;
        deepStrictEqual(toPlain(runCase(call, args)), expected);
    });
}

function runCase<Args extends readonly unknown[]>(call: (...args: Args) => unknown, args: Args): unknown {
    try {
        return call(...args);
    }
    catch (err) {
        return { throws: toErrorCode(err) } satisfies ThrownCode;
    }
}

function toErrorCode(err: unknown): string {
    if (err instanceof Error && "code" in err) {
        return String(err.code);
    }
    return err instanceof Error ? err.message : String(err);
}

function toPlain(value: unknown): unknown {
    return value === undefined ? undefined : JSON.parse(JSON.stringify(value));
}
