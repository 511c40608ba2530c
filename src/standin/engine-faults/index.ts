/** Faults of the stand-in engine. Counts are used up, one for each occurrence; other faults last until they are reset. */

/** Faults of the stand-in engine, switched by `POST /faults`. */
export type EngineFaults = {
	/** Connections break after they have carried this many chunks. */
	breakAfterChunks: number | undefined;
	/** Connections go silent after they have carried this many chunks. */
	silentAfterChunks: number | undefined;
	/** Fraction of cache events that are lost. */
	eventLoss: number;
	/** Delay of an answer's headers, in milliseconds; the request runs meanwhile. */
	headerDelayMs: number;
	/** Number of coming connections that break after their next chunk. */
	breaks: number;
	/** Number of coming connections that go silent after their next chunk. */
	silences: number;
	/** Number of coming answers whose header names another request. */
	crossedAnswers: number;
	/** Number of coming chunks that are replaced by a chunk of another request at the same offset. */
	crossedChunks: number;
	/** Number of coming chunks that are preceded by a chunk of an earlier request at the same offset. */
	lateChunks: number;
	/** Number of coming chunks that are sent twice. */
	duplicatedChunks: number;
	/** Number of coming streams that end early, with an end marker. */
	earlyEnds: number;
	/** Number of coming requests that are read and then reset without running. */
	resetsBeforeRun: number;
	/** Number of coming requests that run while the connection is reset before any answer. */
	resetsAfterRun: number;
	/** Number of coming requests that are refused with 503 and `x-not-run`. */
	refusals: number;
	/** Whether streams cannot be resumed. */
	forgetsStreams: boolean;
};

/** Names of the faults that are counts. */
export type CountedEngineFault = 'breaks' | 'silences' | 'crossedAnswers' | 'crossedChunks' | 'lateChunks' | 'duplicatedChunks' | 'earlyEnds'
	| 'resetsBeforeRun' | 'resetsAfterRun' | 'refusals';

/** Creates the state without faults. */
export function createEngineFaults(): EngineFaults {
	return {
		breakAfterChunks: undefined, silentAfterChunks: undefined, eventLoss: 0, headerDelayMs: 0, breaks: 0, silences: 0,
		crossedAnswers: 0, crossedChunks: 0, lateChunks: 0, duplicatedChunks: 0, earlyEnds: 0,
		resetsBeforeRun: 0, resetsAfterRun: 0, refusals: 0, forgetsStreams: false,
	};
}

/** Uses up one occurrence of a counted fault; returns whether there was one. */
export function takeFault<Name extends string>(faults: Record<Name, number>, name: Name): boolean {
	if (faults[name] <= 0) {
		return false;
	}

	faults[name] -= 1;
	return true;
}
