/** Passes calls that this instance can't serve on to other instances, and answers those that none of them has answered. */

import type {ServerResponse} from 'node:http';
import type {CallDeadline} from '../../forwarding/call-deadline/index.js';
import type {CallHandover, HandoverOutcome} from '../../handover/call-handover/index.js';
import {convertToRouterError, createRouterError, type RouterError} from '../../results/create-router-error/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import type {CallsInProgress} from '../calls-in-progress/index.js';
import {createCallerSink} from '../create-caller-sink/index.js';
import type {RefusalWriter} from '../refusal-writer/index.js';
import type {ResolvedCall} from '../resolve-call/index.js';

/** A call that was read as a whole and may be passed on. */
export type ReadCall = {
	readonly resolvedCall: ResolvedCall;
	readonly deadline: CallDeadline;
	/** Undefined if the call has none. */
	readonly body: Buffer | undefined;
	readonly response: ServerResponse;
};

/** A call that failed at this instance: its error, and how many of its requests may have reached targets. */
export type FailedCall = {readonly error: RouterError; readonly requests: number};

/** Dependencies. */
export type OutboundHandoverOptions = {
	/** Without it, no call is passed on. */
	readonly handover: CallHandover | undefined;
	readonly calls: CallsInProgress;
	readonly refusals: RefusalWriter;
};

/** Passes calls on. */
export class OutboundHandover {
	constructor(private readonly options: OutboundHandoverOptions) {}

	/** Passes a call on to another instance if this one reaches no target; ends it with its error if it does, or if no other takes it. */
	async handOver(readCall: ReadCall, {error, requests}: FailedCall): Promise<void> {
		const {resolvedCall: {call}, response} = readCall;
		const failure = createFailure(await this.pass(readCall, requests), error);
		if (failure !== undefined) {
			this.options.refusals.refuse(response, failure, call);
		}
	}

	/** Passes a call that has failed here on to another instance; the call is answered whatever comes of it. */
	rescue(readCall: ReadCall, failedCall: FailedCall): void {
		this.handOver(readCall, failedCall).catch((error_: unknown) => {
			this.options.refusals.refuse(readCall.response, convertToRouterError(error_), readCall.resolvedCall.call);
		});
	}

	private async pass({resolvedCall: {call, route}, deadline, body, response}: ReadCall, priorRequests: number): Promise<HandoverOutcome> {
		const {handover, calls} = this.options;
		const controller = calls.beginHandover(response);
		try {
			if (handover === undefined || !await handover.shouldRescue()) {
				return 'notRun';
			}

			return await handover.handOver({
				call, rawHeaders: response.req.rawHeaders, body, isRepeatable: isRepeatable(route), priorRequests,
				deadline, sink: createCallerSink(response), signal: controller.signal,
			});
		} finally {
			calls.endHandover(controller);
		}
	}
}

/** Creates the error with which a call ends after an outcome; `error` stands if no instance took it. Undefined if the caller has an answer. */
function createFailure(outcome: HandoverOutcome, error: RouterError): RouterError | undefined {
	switch (outcome) {
		case 'answered': {
			return undefined;
		}

		case 'notRun': {
			return error;
		}

		case 'unknown': {
			return createRouterError('outcomeUnknown', 'the instance that took the call over sent no answer');
		}

		case 'expired': {
			return createRouterError('targetTimeout', 'the instance that took the call over sent no answer in time');
		}
	}
}
