let listener: (() => void) | undefined;
let isReloadPending = false;

// Registered while the module loads, because SIGHUP terminates a process without a listener.
process.on("SIGHUP", () => {
    isReloadPending = listener === undefined;
    listener?.();
});

/**
 * Sets the listener for the reload signal (SIGHUP); calls it at once if a signal arrived before.
 *
 * @param next - Called after each reload signal; replaces the previous listener
 *
 * @example
 * onReload(() => void readSettings());
 */
export function onReload(next: () => void): void {
    listener = next;
    if (isReloadPending) {
        isReloadPending = false;
        next();
    }
}
