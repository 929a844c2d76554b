import { registerTable } from "@fulmarcleat/testing";
import { isSessionTrusted } from "./isSessionTrusted.js";
import { reduceSessionTrust } from "./reduceSessionTrust.js";

registerTable("reduceSessionTrust", reduceSessionTrust);
registerTable("isSessionTrusted", isSessionTrusted);
