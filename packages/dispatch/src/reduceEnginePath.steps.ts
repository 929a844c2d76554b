import { strictEqual, Then } from "@fulmarcleat/testing";
import { OPEN_PATH, readSuspectSince, reduceEnginePath } from "./reduceEnginePath.js";
import type { EnginePathMessage } from "./reduceEnginePath.js";

const SILENT_AFTER_MS = 900;

Then(
    /^after (.*) the path is suspect at (\d+) ms since "(\d*)"$/,
    (messages: string, at: string, since: string) => {
        const path = messages.split(" ").filter(text => text !== "").map(parseMessage)
            .reduce(reduceEnginePath, OPEN_PATH);
        strictEqual(String(readSuspectSince(path, Number(at), SILENT_AFTER_MS) ?? ""), since);
    },
);

function parseMessage(text: string): EnginePathMessage {
    const [kind, at] = text.split("@");
    return { kind, atMs: Number(at), silentAfterMs: SILENT_AFTER_MS } as EnginePathMessage;
}
