import { registerTable } from "@fulmarcleat/testing";
import { decideClaim } from "./decideClaim.js";

registerTable("decideClaim", decideClaim);
