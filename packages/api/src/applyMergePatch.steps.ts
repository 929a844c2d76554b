import { registerTable } from "@fulmarcleat/testing";
import { applyMergePatch } from "./applyMergePatch.js";

registerTable("applyMergePatch", applyMergePatch);
