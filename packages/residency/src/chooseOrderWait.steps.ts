import { registerTable } from "@fulmarcleat/testing";
import { chooseOrderWait } from "./chooseOrderWait.js";

registerTable("chooseOrderWait", chooseOrderWait);
