import { registerTable } from "@fulmarcleat/testing";
import { findEventsEnd } from "./findEventsEnd.js";

registerTable("findEventsEnd", (text: string) => findEventsEnd(Buffer.from(text)));
