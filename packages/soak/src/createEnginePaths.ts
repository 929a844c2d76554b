import { createLoopbackProxy } from "./createLoopbackProxy.js";
import type { LinkMode, LoopbackProxy } from "./createLoopbackProxy.js";

/** What happens to the channels of a host that is cut from the engines; new ones are reset unless they hang. */
export type CutMode =
    /** Open and new channels forward nothing; what they hold is delivered after the cut. */
    | "hang"
    /** Open channels are reset. */
    | "reset"
    /** Open channels go on. */
    | "refuse_new";

/** The paths from one host to all engines; each engine has a port of its own for the host. */
export interface EnginePaths {
    /** Opens the path to an engine, in the state of the other paths. */
    open(enginePort: number): Promise<void>;
    /** Returns the port at which the host reaches the engine; the engine's port if there is no path. */
    toPathPort(enginePort: number): number;
    /** Cuts the host from all engines until `restore` is called. */
    cut(mode: CutMode): void;
    restore(): void;
    close(): void;
}

/**
 * Creates the paths from one host to the engines, without any engine.
 *
 * @returns the paths, not cut
 *
 * @example
 * const paths = createEnginePaths();
 * await paths.open(enginePort);
 * paths.cut("hang");
 */
export function createEnginePaths(): EnginePaths {
    const proxies = new Map<number, LoopbackProxy>();
    let linkMode: LinkMode = "open";
    const setMode = (next: LinkMode): void => {
        linkMode = next;
        proxies.forEach(proxy => proxy.setMode(next));
    };
    return {
        async open(enginePort) {
            const proxy = await createLoopbackProxy(enginePort);
            proxy.setMode(linkMode);
            proxies.set(enginePort, proxy);
        },
        toPathPort: enginePort => proxies.get(enginePort)?.port ?? enginePort,
        cut(mode) {
            setMode(mode === "hang" ? "silent" : "refused");
            if (mode === "reset") {
                proxies.forEach(proxy => proxy.reset());
            }
        },
        restore: () => setMode("open"),
        close: () => proxies.forEach(proxy => proxy.close()),
    };
}
