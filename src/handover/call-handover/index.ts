/**
 * Passes calls on to another instance while this one reaches no target. The other instance treats them as calls of its own:
 * it checks the key, charges quotas and retries, and chooses the target. This one passes its answer back unchanged. A call is
 * passed on once at most: an instance that is cut off as well refuses it, and the next one is asked. If an instance answers
 * nothing at all, a call that may be repeated is sent to a second one while the first keeps it.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {CallDeadline} from '../../forwarding/call-deadline/index.js';
import type {CallerSink, InboundCall} from '../../forwarding/call-types/index.js';
import {TargetClient, type Destination} from '../../forwarding/target-client/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import {calleeHeader, callerHeader} from '../../peers/peer-link/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {AnswerRace} from '../answer-race/index.js';
import {
	filterHeaders, isForwarded, priorRequestsHeader, remainingHeader,
} from '../handover-headers/index.js';
import type {PeerAvailability} from '../peer-availability/index.js';
import {PeerExchange, type PeerOutcome} from '../peer-exchange/index.js';
import {PeerProbe} from '../peer-probe/index.js';
import type {TargetReachability} from '../target-reachability/index.js';

/** Instances that are asked to take one call over. */
const maximumPeers = 3;

/** A call that is passed on. */
export type HandedOverCall = {
	readonly call: InboundCall;
	/** Alternating names and values of all headers as the caller sent them. */
	readonly rawHeaders: readonly string[];
	readonly body: Buffer | undefined;
	readonly isRepeatable: boolean;
	/** Requests that may have reached targets. */
	readonly priorRequests: number;
	readonly deadline: CallDeadline;
	readonly sink: CallerSink;
	/** Aborts when the caller has disconnected or the instance stops. */
	readonly signal: AbortSignal;
};

/**
 * What became of a call. `answered`: the caller has the other instance's answer, or its connection was broken off within it.
 * `notRun`: no instance took it. `unknown`: an instance may have run it, and its answer was lost before it began. `expired`: the same,
 * and the deadline passed.
 */
export type HandoverOutcome = 'answered' | 'notRun' | 'unknown' | 'expired';

/** Options of `CallHandover`. */
export type CallHandoverOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly reachability: Pick<TargetReachability, 'shouldHandOver' | 'canConnect' | 'isCutOff' | 'settle'>;
	readonly peers: Pick<PeerAvailability, 'list' | 'recordCutOff' | 'recordSilent' | 'isMember'>;
};

/** Passes calls on, and counts them. */
export class CallHandover {
	/** Gauges of the metrics. */
	readonly gauges = {
		cut_off_from_targets: {help: 'Whether this instance reaches no target.', read: () => Number(this.options.reachability.isCutOff)},
		calls_handed_over: {help: 'Calls passed on to another instance since the start.', read: () => this.handedOver},
		calls_not_handed_over: {help: 'Calls since the start that no other instance took over.', read: () => this.notTaken},
	};

	private readonly client = new TargetClient();
	private readonly probe: PeerProbe;
	private readonly destinations = new Map<InstanceId, Destination>();
	private handedOver = 0;
	private notTaken = 0;

	constructor(private readonly options: CallHandoverOptions) {
		this.probe = new PeerProbe(options.clock, this.client);
	}

	/** Whether this instance is cut off, so that it can't serve calls by itself. */
	get isCutOff(): boolean {
		return this.options.reachability.isCutOff;
	}

	/** Whether a call is to be passed on at once. Without another instance to take it, the call tries here if there is any hope. */
	shouldHandOver(isRepeatable: boolean, now: MonotonicMs): boolean {
		const {reachability, peers} = this.options;
		return reachability.shouldHandOver(isRepeatable, now) && (!reachability.canConnect || peers.list().length > 0);
	}

	/** Whether a call that was not run here is to be passed on; waits for probes that are to show it. */
	async shouldRescue(): Promise<boolean> {
		await this.options.reachability.settle();
		return this.options.reachability.isCutOff;
	}

	/** Passes a call on; asks another instance if one refuses because it is cut off itself, or can't be reached; and once if one answers nothing. */
	async handOver(call: HandedOverCall): Promise<HandoverOutcome> {
		const {random, peers, clock} = this.options;
		const race = new AnswerRace();
		const outcomes: Array<Promise<PeerOutcome>> = [];
		let canMove = call.isRepeatable;
		let {priorRequests} = call;
		for (const peer of random.pickSome(peers.list(), maximumPeers)) {
			if (call.signal.aborted || clock.readMonotonic() >= call.deadline.read()) {
				break;
			}

			const exchange = this.createExchange(peer, {...call, priorRequests}, race);
			const outcome = this.run(exchange, peer, call.call);
			outcomes.push(outcome);
			const progress = await (canMove ? Promise.race([outcome, exchange.silence]) : outcome);
			if (progress === 'silent') {
				canMove = false;
				// The silent instance may send a request of its own.
				priorRequests += 1;
			} else if (progress !== 'cutOff' && progress !== 'notRun') {
				break;
			}
		}

		const outcome = summariseOutcomes(await Promise.all(outcomes));
		if (outcome === 'notRun') {
			this.notTaken += 1;
		} else {
			this.handedOver += 1;
		}

		return outcome;
	}

	private createExchange(peer: Member, handedOver: HandedOverCall, race: AnswerRace): PeerExchange {
		const {call: {method, path}, body, isRepeatable, deadline, sink, signal} = handedOver;
		const {client, probe, options: {clock, logger, peers}} = this;
		return new PeerExchange({
			peer: {id: peer.id, destination: this.findDestination(peer)},
			request: {
				method, path, headers: this.buildHeaders(peer, handedOver), body, shouldUseNewConnection: !isRepeatable,
			},
			deadline, race, sink, signal,
		}, {
			clock, logger, client, probe, peers,
		});
	}

	/** Passes a call to one instance, and records what became of it there. */
	private async run(exchange: PeerExchange, {id}: Member, call: InboundCall): Promise<PeerOutcome> {
		const {clock, logger, peers} = this.options;
		const startedAt = clock.readMonotonic();
		const outcome = await exchange.run();
		logger.info('call handed over', {
			id: call.id, peer: id, outcome, durationMs: Math.round(clock.readMonotonic() - startedAt),
		});
		if (outcome === 'cutOff') {
			peers.recordCutOff(id);
		}

		return outcome;
	}

	/** Builds the headers: those of the caller, who the call is for, how long its caller still waits, and what may have reached targets. */
	private buildHeaders(peer: Member, {rawHeaders, deadline, priorRequests}: HandedOverCall): string[] {
		const {self, clock} = this.options;
		const forwarded = filterHeaders(rawHeaders, name => isForwarded(name) && name !== 'content-length');
		const remainingMs = Math.max(1, Math.floor(deadline.measureWorkMs(clock.readMonotonic())));
		const routing = [callerHeader, self, calleeHeader, peer.id];
		const progress = [remainingHeader, String(remainingMs), priorRequestsHeader, String(priorRequests)];
		return [...forwarded, ...routing, ...progress];
	}

	private findDestination({id, peerAddress}: Member): Destination {
		const known = this.destinations.get(id);
		if (known?.description.address === peerAddress) {
			return known;
		}

		const destination = {description: {address: peerAddress}};
		this.destinations.set(id, destination);
		this.client.prune(new Set(this.destinations.values()));
		return destination;
	}
}

/** Tells what became of a call from its outcomes at all instances that got it. */
function summariseOutcomes(outcomes: readonly PeerOutcome[]): HandoverOutcome {
	const byWeight = ['answered', 'expired', 'unknown'] as const;
	return byWeight.find(outcome => outcomes.includes(outcome)) ?? 'notRun';
}
