import { blockPorts } from "./blockPorts.js";
import type { BlockedPorts } from "./blockPorts.js";
import { createLoopbackProxy } from "./createLoopbackProxy.js";
import type { LinkMode, LoopbackProxy } from "./createLoopbackProxy.js";

/**
 * What happens to the channels of a host that is cut from the engines. "hang": open and new ones forward nothing, and
 * what they hold is delivered after the cut. "unreachable": open ones hang, and new ones hang while they are opened.
 * "reset": open and new ones are reset. "refuse_new": only new ones are reset.
 */
export const CUT_MODES = ["hang", "unreachable", "reset", "refuse_new"] as const;

/** One of the modes of a cut. */
export type CutMode = typeof CUT_MODES[number];

/** The paths from one host to all engines; each engine has a port of its own for the host. */
export interface EnginePaths {
    /** Opens the path to an engine, in the state of the other paths. */
    open(enginePort: number): Promise<void>;
    /** Returns the port at which the host reaches the engine; the engine's port if there is no path. */
    toPathPort(enginePort: number): number;
    /** Cuts the host from all engines; a later cut sets the mode of all. */
    cut(mode: CutMode): Promise<void>;
    /** Ends one cut; the paths are open again after the last one. */
    restore(): Promise<void>;
    close(): Promise<void>;
}

/**
 * Creates the paths from one host to the engines, without any engine.
 *
 * @returns the paths, not cut
 *
 * @example
 * const paths = createEnginePaths();
 * await paths.open(enginePort);
 * await paths.cut("hang");
 */
export function createEnginePaths(): EnginePaths {
    const proxies = new Map<number, LoopbackProxy>();
    let linkMode: LinkMode = "open";
    let cuts = 0;
    let unblock: (() => Promise<void>) | undefined;
    let lastChange = Promise.resolve();
    const change = (apply: () => Promise<void>): Promise<void> => lastChange = lastChange.then(apply);
    const setMode = async (next: LinkMode, isReachable: boolean): Promise<void> => {
        linkMode = next;
        proxies.forEach(proxy => proxy.setMode(next));
        if (isReachable) {
            await unblock?.();
            unblock = undefined;
        }
        else {
            unblock ??= await blockPaths([...proxies.values()]);
        }
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
            return change(async () => {
                await setMode(mode === "hang" || mode === "unreachable" ? "silent" : "refused", mode !== "unreachable");
                if (mode === "reset") {
                    proxies.forEach(proxy => proxy.reset());
                }
            });
        },
        restore() {
            cuts -= 1;
            return change(async () => {
                if (cuts === 0) {
                    await setMode("open", true);
                }
            });
        },
        close: () =>
            change(async () => {
                await unblock?.();
                proxies.forEach(proxy => proxy.close());
            }),
    };
}

/** Lets new connections to proxies hang while they are opened, until the returned function is called. */
async function blockPaths(proxies: readonly LoopbackProxy[]): Promise<() => Promise<void>> {
    proxies.forEach(proxy => proxy.stopListening());
    const blocked: BlockedPorts = await blockPorts(proxies.map(proxy => proxy.port));
    return async () => {
        await blocked.release();
        await Promise.all(proxies.map(proxy => proxy.listenAgain()));
    };
}
