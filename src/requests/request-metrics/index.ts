/** Metrics of the request path, and runtime checks of its invariants. */

import {Counter, Histogram, type Registry} from 'prom-client';
import type {InvariantChecker, RequestInvariant} from '../../invariants/invariant-checker/index.js';

/** Why a chunk was dropped. */
export type DropReason = 'crossed' | 'duplicated';

/** Options of `RequestMetrics`. */
export type RequestMetricsOptions = {
	readonly registry: Registry;
	/** Called on each violation; throws in tests. */
	readonly invariants: InvariantChecker;
};

const durationBucketsSeconds = [0.001, 0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

/** Metrics of the request path, in the given registry. */
export class RequestMetrics {
	readonly requests;
	readonly retries;
	readonly resumes;
	readonly restarts;
	readonly chunks;
	readonly brokenStreams;
	readonly droppedChunks;
	readonly droppedAnswers;
	readonly cancellations;
	readonly connectionErrors;
	readonly idempotency;
	readonly violations;
	readonly durations;

	constructor(private readonly options: RequestMetricsOptions) {
		const registers = [options.registry];
		const defineCounter = <Label extends string>(name: string, help: string, labelNames: Label[] = []) => new Counter({
			name: `laburnumturn_${name}`, help, labelNames, registers,
		});
		this.requests = defineCounter('requests_total', 'Requests from callers by kind and result name.', ['kind', 'result']);
		this.retries = defineCounter('retries_total', 'Attempts after the first, by kind and by result name of the attempt before.', ['kind', 'reason']);
		this.resumes = defineCounter('stream_resumes_total', 'Streams continued by offset at the same engine incarnation.');
		this.restarts = defineCounter('stream_restarts_total', 'Answers generated again by another attempt after chunks had arrived.');
		this.chunks = defineCounter('stream_chunks_total', 'Chunks written to callers.');
		this.brokenStreams = defineCounter('broken_streams_total', 'Streams that ended with an error event, by result name.', ['result']);
		this.droppedChunks = defineCounter('dropped_chunks_total', 'Chunks of another request or received before.', ['reason']);
		this.droppedAnswers = defineCounter('dropped_answers_total', 'Answers whose header names another request.');
		this.cancellations = defineCounter('cancellations_total', 'Requests cancelled at an engine.');
		this.connectionErrors = defineCounter('caller_connection_errors_total', 'Malformed, slow, oversized or surplus connections from callers.', ['code']);
		this.idempotency = defineCounter('idempotency_total', 'Calls with an idempotency key by outcome of the claim.', ['outcome']);
		this.violations = defineCounter('invariant_violations_total', 'Violations of invariants; always 0 in a correct program.', ['invariant']);
		this.durations = new Histogram({
			name: 'laburnumturn_request_seconds', help: 'Time from the request to the end of its answer, by kind.', labelNames: ['kind'], registers, buckets: durationBucketsSeconds,
		});
	}

	/** Counts a violation of `invariant` unless `isSatisfied`; returns `isSatisfied`. */
	checkInvariant(invariant: RequestInvariant, isSatisfied: boolean): boolean {
		if (!isSatisfied) {
			this.violations.inc({invariant});
			this.options.invariants.check(invariant, false, 'request path');
		}

		return isSatisfied;
	}
}
