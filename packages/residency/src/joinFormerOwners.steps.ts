import { registerTable } from "@fulmarcleat/testing";
import { joinFormerOwners } from "./joinFormerOwners.js";

registerTable("joinFormerOwners", joinFormerOwners<string>);
