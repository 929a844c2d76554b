import { createLoopbackProxy } from "./createLoopbackProxy.js";
import type { LinkMode, LoopbackProxy } from "./createLoopbackProxy.js";

/**
 * What happens to the channels of a host that is cut from the engines. "hang": open and new ones forward nothing, and
 * what they hold is delivered after the cut. "reset": open and new ones are reset. "refuse_new": only new ones are reset.
 */
export const CUT_MODES = ["hang", "reset", "refuse_new"] as const;

/** One of the modes of a cut. */
export type CutMode = typeof CUT_MODES[number];

/** The paths from one host to all engines; each engine has a port of its own for the host. */
export interface EnginePaths {
    /** Opens the path to an engine, in the state of the other paths. */
    open(enginePort: number): Promise<void>;
    /** Returns the port at which the host reaches the engine; the engine's port if there is no path. */
    toPathPort(enginePort: number): number;
    /** Cuts the host from all engines; a later cut sets the mode of all. */
    cut(mode: CutMode): void;
    /** Ends one cut; the paths are open again after the last one. */
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
    let cuts = 0;
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
            cuts += 1;
            setMode(mode === "hang" ? "silent" : "refused");
            if (mode === "reset") {
                proxies.forEach(proxy => proxy.reset());
            }
        },
        restore() {
            cuts -= 1;
            if (cuts === 0) {
                setMode("open");
            }
        },
        close: () => proxies.forEach(proxy => proxy.close()),
    };
}
