import { registerTable } from "@fulmarcleat/testing";
import { choosePriority } from "./choosePriority.js";

registerTable("choosePriority", choosePriority);
