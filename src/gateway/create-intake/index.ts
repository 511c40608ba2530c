/** Bounds what callers of a gateway may take, by its settings. */

import type {Clock} from '../../clock/clock/index.js';
import {calculateIntakeLimits, type IntakeSettings} from '../../intake/calculate-intake-limits/index.js';
import {CallerIntake} from '../../intake/caller-intake/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {CallListenerOptions} from '../call-listener/index.js';

/** Creates the intake of the listener for callers, and the limit of its connections. */
export function createIntake(settings: IntakeSettings, clock: Clock, logger: EventLogger): Pick<CallListenerOptions, 'intake' | 'maximumConnections'> {
	const {connections, ...bodyLimits} = calculateIntakeLimits(settings);
	return {
		intake: new CallerIntake({clock, logger, readLimits: () => bodyLimits}),
		maximumConnections: connections,
	};
}
