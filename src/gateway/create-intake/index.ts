/** Bounds what callers of a gateway and other instances may take, by its settings. */

import type {Clock} from '../../clock/clock/index.js';
import {calculateIntakeLimits, type IntakeSettings} from '../../intake/calculate-intake-limits/index.js';
import {CallerIntake} from '../../intake/caller-intake/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {PeerServerLimits} from '../../peers/peer-server/index.js';
import type {CallListenerOptions} from '../call-listener/index.js';

/** Largest body of a request of another instance; the largest are objects that it has this one write to the store. */
const peerBodyBytes = 8 * 1024 * 1024;

/** Calculates what requests of other instances may take. They may open as many connections as callers. */
export function calculatePeerLimits(settings: IntakeSettings): PeerServerLimits {
	return {bodyBytes: peerBodyBytes, heldBodyBytes: peerBodyBytes, connections: calculateIntakeLimits(settings).connections};
}

/** Creates the intake of the listener for callers, and the limit of its connections. */
export function createIntake(settings: IntakeSettings, clock: Clock, logger: EventLogger): Pick<CallListenerOptions, 'intake' | 'maximumConnections'> {
	const {connections, ...bodyLimits} = calculateIntakeLimits(settings);
	return {
		intake: new CallerIntake({clock, logger, readLimits: () => bodyLimits}),
		maximumConnections: connections,
	};
}
