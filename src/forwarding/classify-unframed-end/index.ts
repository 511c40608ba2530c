/**
 * Classifies an answer without length and chunks some time after it ended with its connection.
 *
 * The connections of an engine that crashes can end in order, so such an end proves neither a complete answer nor a
 * crash. What the engine does next tells them apart: it goes on to answer, or nothing listens at its address any more.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import {bufferedBytesMs} from '../../fleet/restart-suspicion/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';

/** Time from the end of the answer to its classification, in milliseconds. */
export const classificationDelayMs = 1500;

/** `unknown`: the target has neither answered since nor been found unreachable. */
export type UnframedEndClass = 'complete' | 'broken' | 'unknown';

/** Classifies an answer of `target` that ended at `endedAt`, from what is known of the target by now. */
export function classifyUnframedEnd(target: FleetTarget, endedAt: MonotonicMs): UnframedEndClass {
	if (target.readLastReceivedAt() > endedAt + bufferedBytesMs) {
		return 'complete';
	}

	return target.readUnreachableAt() > endedAt ? 'broken' : 'unknown';
}
