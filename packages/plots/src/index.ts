export { renderPlotPage } from "./renderPlotPage.js";
export type { PlotPage } from "./renderPlotPage.js";
export { renderTable } from "./renderTable.js";
