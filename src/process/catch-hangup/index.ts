/**
 * Catches hang-up signals from the moment at which this module is loaded, so it has to be imported before
 * everything else: without a listener, a hang-up that arrives while the program loads ends the process.
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

/** Sets what a hang-up does, and does it at once when one has arrived before. */
export function onHangup(next: () => void): void {
	listener = next;
	if (isPending) {
		isPending = false;
		next();
	}
}
