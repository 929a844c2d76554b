import { registerTable } from "@fulmarcleat/testing";
import { removeHeaders } from "./removeHeaders.js";

registerTable("removeHeaders", removeHeaders);
