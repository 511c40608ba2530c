/**
 * Passes calls on to another instance while this one reaches no target. The other instance treats them as calls of its own:
 * it checks the key, charges quotas and retries, and chooses the target. This one passes its answer back unchanged. A call is
 * passed on once at most: an instance that is cut off as well refuses it, and the next one is asked.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {CallerSink, InboundCall} from '../../forwarding/call-types/index.js';
import {TargetClient, type Destination, type Exchange} from '../../forwarding/target-client/index.js';
import {hopByHopHeaders} from '../../http/hop-by-hop-headers/index.js';
import {isUnframed} from '../../http/is-unframed/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import {calleeHeader, callerHeader} from '../../peers/peer-link/index.js';
import type {RandomSource} from '../../random/random-source/index.js';
import {
	cutOffHeader, handoverHeaders, remainingHeader, servedHeader,
} from '../handover-headers/index.js';
import type {PeerAvailability} from '../peer-availability/index.js';
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
	readonly deadline: MonotonicMs;
	readonly sink: CallerSink;
	/** Aborts when the caller has disconnected or the instance stops. */
	readonly signal: AbortSignal;
};

/**
 * What became of a call. `answered`: the caller has the other instance's answer, or its connection was broken off within it.
 * `notRun`: no instance took it. `unknown`: an instance may have run it, and its answer was lost before it began.
 */
export type HandoverOutcome = 'answered' | 'notRun' | 'unknown';

/** Options of `CallHandover`. */
export type CallHandoverOptions = {
	readonly self: InstanceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly reachability: Pick<TargetReachability, 'shouldHandOver' | 'canConnect' | 'isCutOff' | 'settle'>;
	readonly peers: Pick<PeerAvailability, 'list' | 'recordCutOff'>;
};

type PeerOutcome = HandoverOutcome | 'cutOff';

/** Passes calls on, and counts them. */
export class CallHandover {
	/** Gauges of the metrics. */
	readonly gauges = {
		cut_off_from_targets: {help: 'Whether this instance reaches no target.', read: () => Number(this.options.reachability.isCutOff)},
		calls_handed_over: {help: 'Calls passed on to another instance since the start.', read: () => this.handedOver},
		calls_not_handed_over: {help: 'Calls since the start that no other instance took over.', read: () => this.notTaken},
	};

	private readonly client = new TargetClient();
	private readonly destinations = new Map<InstanceId, Destination>();
	private handedOver = 0;
	private notTaken = 0;

	constructor(private readonly options: CallHandoverOptions) {}

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

	/** Passes a call on; asks another instance if one refuses because it is cut off itself, or can't be reached. */
	async handOver(call: HandedOverCall): Promise<HandoverOutcome> {
		const {random, peers, clock, logger} = this.options;
		const startedAt = clock.readMonotonic();
		for (const peer of random.pickSome(peers.list(), maximumPeers)) {
			if (call.signal.aborted || clock.readMonotonic() >= call.deadline) {
				break;
			}

			const outcome = await this.passTo(peer, call);
			logger.info('call handed over', {
				id: call.call.id, peer: peer.id, outcome, durationMs: Math.round(clock.readMonotonic() - startedAt),
			});
			if (outcome === 'cutOff') {
				peers.recordCutOff(peer.id);
			} else if (outcome !== 'notRun') {
				this.handedOver += 1;
				return outcome;
			}
		}

		this.notTaken += 1;
		return 'notRun';
	}

	/** Passes a call to one instance. */
	private async passTo(peer: Member, handedOver: HandedOverCall): Promise<PeerOutcome> {
		const {call: {method, path}, body, isRepeatable, sink, signal} = handedOver;
		return new Promise(resolve => {
			let hasBegun = false;
			let endsWithConnection = false;
			const finish = (outcome: PeerOutcome) => {
				signal.removeEventListener('abort', abort);
				resolve(outcome);
			};

			const exchange = this.client.start(this.findDestination(peer), {
				method, path, headers: this.buildHeaders(peer, handedOver), body, shouldUseNewConnection: !isRepeatable,
			}, {
				onHead(status, rawHeaders) {
					const head = parseHead(rawHeaders);
					if (!head.isServed) {
						exchange.abort();
						finish(head.isCutOff ? 'cutOff' : 'notRun');
						return;
					}

					hasBegun = true;
					endsWithConnection = isUnframed(method, status, name => head.names.has(name));
					sink.begin(status, head.forwarded);
				},
				onChunk(chunk) {
					if (!sink.write(chunk)) {
						exchange.pause();
						sink.onDrain(() => {
							exchange.resume();
						});
					}
				},
				onEnd() {
					// Instances of earlier releases pass such answers on, and the kernel closes the connections of a killed process in order.
					if (endsWithConnection) {
						sink.destroy();
					} else {
						sink.end();
					}

					finish('answered');
				},
				onFailure(stage) {
					if (hasBegun) {
						sink.destroy();
					}

					finish(hasBegun ? 'answered' : (stage === 'notSent' ? 'notRun' : 'unknown'));
				},
			});
			const abort = () => {
				exchange.abort();
				if (hasBegun) {
					sink.destroy();
				}

				resolve(hasBegun ? 'answered' : 'unknown');
			};

			signal.addEventListener('abort', abort, {once: true});
		});
	}

	/** Builds the headers: those of the caller, who the call is for, and how long its caller still waits. */
	private buildHeaders(peer: Member, {rawHeaders, deadline}: HandedOverCall): string[] {
		const {self, clock} = this.options;
		const forwarded = filterHeaders(rawHeaders, name => isForwarded(name) && name !== 'content-length');
		const remainingMs = Math.max(1, Math.floor(deadline - clock.readMonotonic()));
		return [...forwarded, callerHeader, self, calleeHeader, peer.id, remainingHeader, String(remainingMs)];
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

/** The head of another instance's answer: what of it goes to the caller, and the names of all headers in lower case. */
function parseHead(rawHeaders: readonly string[]) {
	const names = new Set(rawHeaders.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase()));
	return {
		names, forwarded: filterHeaders(rawHeaders, isForwarded), isCutOff: names.has(cutOffHeader), isServed: names.has(servedHeader),
	};
}

/** Whether a header passes from caller to target or back, and does not concern one connection or the handover; its name is in lower case. */
function isForwarded(name: string): boolean {
	return !hopByHopHeaders.has(name) && !handoverHeaders.includes(name);
}

/** Keeps the headers whose names in lower case pass; `rawHeaders` alternates names and values. */
function filterHeaders(rawHeaders: readonly string[], passes: (name: string) => boolean): string[] {
	return rawHeaders.filter((_, index) => passes(rawHeaders[index - (index % 2)]!.toLowerCase()));
}
