/** A logger that writes nothing, for replays and tests. */

import type {EventLogger} from '../create-logger/index.js';

/** Drops every event. */
export const quietLogger: EventLogger = {
	info: drop,
	warn: drop,
	error: drop,
};

function drop(): void {
	// Nothing is written.
}
