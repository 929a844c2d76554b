import { registerTable } from "@fulmarcleat/testing";
import { checkAnswer } from "./checkAnswer.js";

/** In the table rows, `~` stands for a line break. */
registerTable(
    "checkAnswer",
    (model: string, tokens: number, text: string) => checkAnswer(model, tokens, text.replaceAll("~", "\n")),
);
