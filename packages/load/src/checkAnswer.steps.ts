import { registerTable } from "@fulmarcleat/testing";
import { checkAnswer } from "./checkAnswer.js";

/** Rows write `~` for the end of a line. */
registerTable(
    "checkAnswer",
    (model: string, tokens: number, text: string) => checkAnswer(model, tokens, text.replaceAll("~", "\n")),
);
