let listener: (() => void) | undefined;
let hasWaiting = false;

// Set up while the program is read, since the signal ends a process that does not listen.
process.on("SIGHUP", () => {
    hasWaiting = listener === undefined;
    listener?.();
});

/**
 * Calls a listener with each reload signal, also with one that came while the process started.
 *
 * @param next - The listener
 *
 * @example
 * onReload(() => void readSettings());
 */
export function onReload(next: () => void): void {
    listener = next;
    if (hasWaiting) {
        hasWaiting = false;
        next();
    }
}
