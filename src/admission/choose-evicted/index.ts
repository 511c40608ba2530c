/** Chooses the waiting call that gives way to a further one when the queue is full. */

import type {CallRank, QueueEntry} from '../queued-call/index.js';

/**
 * Chooses the newest call of the organisation that has most tokens waiting in the lowest priority; undefined if the further call
 * is refused itself, since it has no higher priority and its organisation would have as much waiting.
 */
export function chooseEvicted(entries: Iterable<QueueEntry>, newcomer: CallRank): QueueEntry | undefined {
	const waiting = [...entries];
	const lowest = Math.max(...waiting.map(({call}) => call.priority));
	if (waiting.length === 0 || newcomer.priority > lowest) {
		return undefined;
	}

	const candidates = waiting.filter(({call}) => call.priority === lowest);
	const tokens = sumByOrganisation(candidates);
	const [organisation, mostTokens] = [...tokens].toSorted((a, b) => b[1] - a[1])[0]!;
	const newcomerTokens = (tokens.get(newcomer.organisation) ?? 0) + newcomer.costTokens;
	if (newcomer.priority === lowest && newcomerTokens >= mostTokens) {
		return undefined;
	}

	return candidates.filter(({call}) => call.organisation === organisation).toSorted((a, b) => b.call.since - a.call.since)[0];
}

function sumByOrganisation(entries: readonly QueueEntry[]): Map<CallRank['organisation'], number> {
	const sums = new Map<CallRank['organisation'], number>();
	for (const {call} of entries) {
		sums.set(call.organisation, (sums.get(call.organisation) ?? 0) + call.costTokens);
	}

	return sums;
}
