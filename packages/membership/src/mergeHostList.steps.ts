import { registerTable } from "@fulmarcleat/testing";
import { mergeHostList } from "./mergeHostList.js";

registerTable("mergeHostList", mergeHostList);
