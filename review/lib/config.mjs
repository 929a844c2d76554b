/** Writes a version of the config to the store, as the operator does; returns the store's revision. */
export function writeConfig(store, { version, routes, services }) {
    return store.put("op/config", {
        version,
        routes: routes.map(route => ({ priority: 2, maxAttempts: 1, ...route })),
        services: services.map(service => ({
            healthPath: "/health",
            maxConns: 96,
            protocol: "h1",
            tls: false,
            ...service,
        })),
        limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
    });
}
