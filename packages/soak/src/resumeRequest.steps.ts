import { strictEqual, Then } from "@fulmarcleat/testing";
import { resumeRequest } from "./resumeRequest.js";
import type { SoakAnswer } from "./sendRequest.js";

Then(/^resuming a stream with the text "(.*)", (.*), gives "(.*)"$/, (text: string, state: string, next: string) => {
    const resumed = state.includes("resumption") ? { requestId: "r0", afterEvent: 4 } : undefined;
    const answer = {
        req: { id: "r1", generation: { model: "base", adapter: "a1", events: 9 }, resumed },
        status: 200,
        isComplete: state === "complete",
        text: text.replaceAll(/\\+n/g, "\n"),
    } as SoakAnswer;
    const req = resumeRequest(answer, state.includes("no time") ? 0 : 1000);
    strictEqual(req === undefined ? "" : `${req.id} ${req.resumed?.requestId} ${req.resumed?.afterEvent}`, next);
});
