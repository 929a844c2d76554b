import { registerTable } from "@fulmarcleat/testing";
import { checkPromises } from "./checkPromises.js";

registerTable("checkPromises", checkPromises);
