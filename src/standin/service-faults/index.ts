/** Faults of the stand-in service. A counter decreases with each occurrence; the delay lasts until it is reset. */

/** Faults of the stand-in service, set by `POST /faults`. */
export type ServiceFaults = {
	/** Number of calls still to run and then be reset before any response. */
	lostAnswers: number;
	/** Number of calls still to be read and then reset without running. */
	resetsBeforeRun: number;
	/** Number of connections still to be reset as soon as they are accepted. */
	resetsOnConnect: number;
	/** Number of calls still to be refused with 503 and `x-not-run`. */
	refusals: number;
	/** Number of calls still to run and then be reset after half of the response body. */
	brokenBodies: number;
	/** Number of calls still to run and send half of the response body, then nothing more on the open connection. */
	silentBodies: number;
	/** Number of calls still to be answered with 413 before their body is read. */
	earlyAnswers: number;
	/** Number of calls still to get an interim 100 response first. */
	interimAnswers: number;
	/** Delay of each response, in milliseconds; the call has already been counted as run. */
	delayMs: number;
};

/** Creates a state in which all faults are off. */
export function createServiceFaults(): ServiceFaults {
	return {
		lostAnswers: 0, resetsBeforeRun: 0, resetsOnConnect: 0, refusals: 0, brokenBodies: 0, silentBodies: 0,
		earlyAnswers: 0, interimAnswers: 0, delayMs: 0,
	};
}
