import { registerTable } from "@fulmarcleat/testing";
import { chooseSilenceLimit } from "./chooseSilenceLimit.js";

registerTable("chooseSilenceLimit", chooseSilenceLimit);
