/**
 * Handles SIGHUP from the time at which this module is loaded. Import it before all other modules: without
 * a listener, a SIGHUP that arrives while the program loads ends the process.
 */

let listener: (() => void) | undefined;
let isPending = false;

process.on('SIGHUP', () => {
	if (listener === undefined) {
		isPending = true;
	} else {
		listener();
	}
});

/** Sets the listener for SIGHUP, and calls it at once if a signal has arrived before. */
export function onHangup(newListener: () => void): void {
	listener = newListener;
	if (isPending) {
		isPending = false;
		newListener();
	}
}
