/** Faults of the stand-in engine. A counter decreases with each occurrence; other faults last until they are reset. */

/** Faults of the stand-in engine, set by `POST /faults`. */
export type EngineFaults = {
	/** Connections break after they have carried this many chunks. */
	breakAfterChunks: number | undefined;
	/** Connections stay open but send nothing more after they have carried this many chunks. */
	silentAfterChunks: number | undefined;
	/** Fraction of cache events that are lost. */
	eventLoss: number;
	/** Delay of the response headers, in milliseconds; the request runs meanwhile. */
	headerDelayMs: number;
	/** Number of connections still to break after their first chunk. */
	breaks: number;
	/** Number of connections still to stay open without sending anything after their first chunk. */
	silences: number;
	/** Number of responses still to be sent with the id of another request in the header. */
	crossedAnswers: number;
	/** Number of chunks still to be replaced by a chunk of another request at the same offset. */
	crossedChunks: number;
	/** Number of chunks still to be preceded by a chunk of an earlier request at the same offset. */
	lateChunks: number;
	/** Number of chunks still to be sent twice. */
	duplicatedChunks: number;
	/** Number of streams still to end early, with an end marker. */
	earlyEnds: number;
	/** Number of requests still to be read and then reset without running. */
	resetsBeforeRun: number;
	/** Number of requests still to run while their connection is reset before any response. */
	resetsAfterRun: number;
	/** Number of requests still to be refused with 503 and `x-not-run`. */
	refusals: number;
	/** Whether streams cannot be resumed. */
	forgetsStreams: boolean;
};

/** Names of the faults that are counters. */
export type CountedEngineFault = 'breaks' | 'silences' | 'crossedAnswers' | 'crossedChunks' | 'lateChunks' | 'duplicatedChunks' | 'earlyEnds'
	| 'resetsBeforeRun' | 'resetsAfterRun' | 'refusals';

/** Creates a state in which all faults are off. */
export function createEngineFaults(): EngineFaults {
	return {
		breakAfterChunks: undefined, silentAfterChunks: undefined, eventLoss: 0, headerDelayMs: 0, breaks: 0, silences: 0,
		crossedAnswers: 0, crossedChunks: 0, lateChunks: 0, duplicatedChunks: 0, earlyEnds: 0,
		resetsBeforeRun: 0, resetsAfterRun: 0, refusals: 0, forgetsStreams: false,
	};
}

/** Decrements the counter of a fault; returns whether the fault is to occur now. */
export function consumeFault<Name extends string>(faults: Record<Name, number>, name: Name): boolean {
	if (faults[name] <= 0) {
		return false;
	}

	faults[name] -= 1;
	return true;
}
