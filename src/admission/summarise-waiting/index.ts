/** Summarises the waiting calls of a service for other instances. */

import type {ServiceId} from '../../routing/routing-types/index.js';
import type {QueuedCall} from '../queued-call/index.js';
import type {WaitingEntry} from '../shared-backlog/index.js';

/** Returns an entry for each priority. */
export function summariseWaiting(service: ServiceId, calls: Iterable<Pick<QueuedCall, 'priority' | 'needs'>>): WaitingEntry[] {
	const entries = new Map<number, WaitingEntry>();
	for (const {priority, needs: {memoryTokens}} of calls) {
		const other = entries.get(priority) ?? [service, priority, 0, Infinity];
		entries.set(priority, [service, priority, other[2] + 1, Math.min(other[3], memoryTokens)]);
	}

	return [...entries.values()];
}
