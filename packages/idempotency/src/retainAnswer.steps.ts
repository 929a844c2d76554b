import { registerTable } from "@fulmarcleat/testing";
import { retainAnswer } from "./retainAnswer.js";

registerTable("retainAnswer", (retained: readonly string[], nonce: string, length: number, maxBytes: number) => {
    const answer = {
        kind: "generation",
        text: "a".repeat(length),
        finishReason: "stop",
        tokens: 1,
        ranModel: "m@1",
    } as const;
    const before = retained.map(name => ({ nonce: name, answer, bytes: 95 }));
    return retainAnswer(before, nonce, answer, maxBytes).map(entry => entry.nonce);
});
