export { startFront } from "./startFront.js";
