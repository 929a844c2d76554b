import { registerTable } from "@fulmarcleat/testing";
import { orderWaiting } from "./orderWaiting.js";

registerTable("orderWaiting", orderWaiting);
