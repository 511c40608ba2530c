/** Writes `record.txt` in the folder of a case. */

import {writeFileSync} from 'node:fs';

const lines = [];
const startedAt = Date.now();

/** Adds a line with the time since the start, in seconds. */
export function note(text, at = Date.now()) {
	lines.push({at, text: `${((at - startedAt) / 1000).toFixed(3)} ${text}`});
}

/** Adds a line for each request: when it was sent and to which machine, which workers it reached, and what came back. */
export function noteRequests(outcomes, engines) {
	const runsById = new Map();
	for (const run of engines.flatMap(engine => engine.arrivals)) {
		runsById.set(run.id, [...runsById.get(run.id) ?? [], run]);
	}

	for (const {id, machine, at, endedAt, status, isComplete, error} of outcomes) {
		const runs = (runsById.get(id) ?? []).map(run => `${run.engine} after ${run.at - at} ms`).join(', ');
		const answer = `${status ?? 'no status'}${isComplete ? ' complete' : ''}${error === undefined ? '' : ` ${error}`} after ${endedAt - at} ms`;
		note(`${id} to ${machine}; reached ${runs === '' ? 'no worker' : runs}; ${answer}`, at);
	}
}

/** Writes the lines in the order of time, and prints the last ones. */
export function writeRecord(folder, verdict) {
	const texts = lines.toSorted((a, b) => a.at - b.at).map(({text}) => text);
	writeFileSync(new URL('record.txt', folder), `${[...texts, verdict].join('\n')}\n`);
	process.stdout.write(`${verdict}\n`);
}
