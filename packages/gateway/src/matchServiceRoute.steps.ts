import { registerTable } from "@fulmarcleat/testing";
import { matchServiceRoute } from "./matchServiceRoute.js";
import type { ServiceRoute } from "./matchServiceRoute.js";

const ROUTES: Readonly<Record<string, ServiceRoute>> = {
    orders: { method: "POST", path: "/orders", repeatable: false, timeoutMs: 1000 },
    "one order": { method: "GET", path: "/orders/:id", repeatable: true, timeoutMs: 1000 },
    files: { method: "GET", path: "/files/*", repeatable: true, timeoutMs: 1000 },
};

registerTable("matchServiceRoute", (method: string, path: string) => {
    const found = matchServiceRoute(Object.values(ROUTES), method, path);
    return Object.entries(ROUTES).find(([, route]) => route === found)?.[0];
});
