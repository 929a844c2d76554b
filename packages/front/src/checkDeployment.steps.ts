import { registerTable } from "@fulmarcleat/testing";
import { checkDeployment } from "./checkDeployment.js";

registerTable("checkDeployment", checkDeployment);
