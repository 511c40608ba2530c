/** Faults of the stand-in service. Counts are used up, one for each occurrence. */

/** Faults of the stand-in service, switched by `POST /faults`. */
export type ServiceFaults = {
	/** Number of coming calls that run while their answer is lost. */
	lostAnswers: number;
	/** Number of coming calls that are read and then reset without running. */
	resetsBeforeRun: number;
	/** Number of coming connections that are reset as soon as they are accepted. */
	resetsOnConnect: number;
	/** Number of coming calls that are refused with 503 and `x-not-run`. */
	refusals: number;
	/** Number of coming calls that run, answer half of their body and then break. */
	brokenBodies: number;
	/** Number of coming calls that run, answer half of their body and then go silent. */
	silentBodies: number;
	/** Number of coming calls that are answered with 413 before their body is read. */
	earlyAnswers: number;
	/** Number of coming calls that get an interim 100 answer first. */
	interimAnswers: number;
	/** Delay of each answer, in milliseconds; the call runs meanwhile. */
	delayMs: number;
};

/** Creates the state without faults. */
export function createServiceFaults(): ServiceFaults {
	return {
		lostAnswers: 0, resetsBeforeRun: 0, resetsOnConnect: 0, refusals: 0, brokenBodies: 0, silentBodies: 0,
		earlyAnswers: 0, interimAnswers: 0, delayMs: 0,
	};
}
