/**
 * One call at an instance that it was passed on to. It ends at its deadline at the latest, and earlier if another instance
 * answers the call.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {CallDeadline} from '../../forwarding/call-deadline/index.js';
import type {CallerSink} from '../../forwarding/call-types/index.js';
import type {Exchange, ExchangeListener, ExchangeStage} from '../../forwarding/http-exchange/index.js';
import type {OutboundRequest, TargetClient} from '../../forwarding/target-client/index.js';
import {waitForArrivedData} from '../../http/wait-for-arrived-data/index.js';
import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {AnswerRace, Contender} from '../answer-race/index.js';
import {assessHandover} from '../assess-handover/index.js';
import {isComment} from '../is-comment/index.js';
import {parsePeerHead, type PeerHead} from '../parse-peer-head/index.js';
import type {PeerProbe, ProbedPeer} from '../peer-probe/index.js';

/**
 * What became of a call at an instance. `answered`: the caller has its answer, or the connection to the caller was broken off
 * within it. `notRun`: it didn't take the call. `cutOff`: it reaches no target either. `unknown`: it may have run the call, and the
 * answer was lost before it began. `expired`: the deadline passed. `dropped`: another instance answers the call.
 */
export type PeerOutcome = 'answered' | 'notRun' | 'cutOff' | 'unknown' | 'expired' | 'dropped';

/** Maximum number of comments that are held while another instance has the call; one more counts as the beginning of the answer. */
const maximumComments = 100;
/** Interval between checks of a call, in milliseconds. */
const checkIntervalMs = 100;

/** A call as it is sent to an instance. */
export type PeerCall = {
	readonly peer: ProbedPeer;
	readonly request: OutboundRequest;
	readonly deadline: Pick<CallDeadline, 'read'>;
	/** The instances that have the call; the answer of one of them is passed on. */
	readonly race: AnswerRace;
	readonly sink: CallerSink;
	/** Aborts when the caller has disconnected or the instance stops. */
	readonly signal: AbortSignal;
};

/** Dependencies of an exchange. */
export type PeerExchangeOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly client: TargetClient;
	readonly probe: PeerProbe;
	readonly peers: {
		/** Whether an instance counts as a member of the fleet. */
		isMember(id: InstanceId): boolean;
		/** Records that an instance answers nothing. */
		recordSilent(id: InstanceId): void;
	};
};

/** Passes one call to one instance. */
export class PeerExchange implements ExchangeListener, Contender {
	/** Resolves once the instance answers nothing at all; the exchange goes on. */
	readonly silence: Promise<'silent'>;
	private readonly sentAt: MonotonicMs;
	/** The head of the answer, once it has arrived. */
	private head: PeerHead | undefined;
	/** Whether the caller has the head. */
	private hasBegun = false;
	/** Whether the answer is held back, because that of another instance would be better. */
	private isHeld = false;
	/** Comments that came before anything else, while another instance has the call. */
	private comments: Buffer[] = [];
	/** Whether the answer has arrived as a whole. */
	private hasEnded = false;
	private isDone = false;
	private exchange: Exchange | undefined;
	private timer: NodeJS.Timeout | undefined;
	private onDone: ((outcome: PeerOutcome) => void) | undefined;
	private onSilent: (() => void) | undefined;

	constructor(private readonly call: PeerCall, private readonly options: PeerExchangeOptions) {
		this.sentAt = options.clock.readMonotonic();
		this.silence = new Promise(resolve => {
			this.onSilent = () => {
				resolve('silent');
			};
		});
	}

	/** Sends the call; resolves when its outcome is known. */
	async run(): Promise<PeerOutcome> {
		const {call, options: {client}} = this;
		return new Promise(resolve => {
			this.onDone = resolve;
			call.race.add(this);
			this.exchange = client.start(call.peer.destination, call.request, this);
			this.timer = setInterval(() => {
				void this.check();
			}, checkIntervalMs);
			call.signal.addEventListener('abort', this.abort, {once: true});
		});
	}

	onHead(status: number, rawHeaders: readonly string[]): void {
		const {call, options: {probe}} = this;
		probe.recordHeard(call.peer.id);
		const head = parsePeerHead(call.request.method, status, rawHeaders);
		if (!head.isServed) {
			this.exchange?.abort();
			this.finish(head.isCutOff ? 'cutOff' : 'notRun');
			return;
		}

		this.head = head;
		if (call.race.isAlone(this)) {
			this.begin();
		} else if (head.isFailure) {
			this.isHeld = true;
			this.exchange?.pause();
		}
	}

	onChunk(chunk: Buffer): void {
		const {call: {peer, race}, options: {probe}} = this;
		probe.recordHeard(peer.id);
		if (!this.hasBegun && !race.isAlone(this) && this.comments.length < maximumComments && isComment(chunk)) {
			this.comments.push(chunk);
			return;
		}

		this.begin();
		this.write(chunk);
	}

	onEnd(): void {
		this.hasEnded = true;
		if (!this.isHeld && this.comments.length === 0) {
			this.begin();
			this.end();
		}
	}

	onFailure(stage: ExchangeStage): void {
		this.breakOff(stage === 'notSent' ? 'notRun' : 'unknown');
	}

	/** Passes on what has arrived of the answer, because no other instance has the call any more. */
	release(): void {
		const {call: {deadline, signal}, options: {clock}, isHeld, head} = this;
		const canBeComplete = isHeld || clock.readMonotonic() < deadline.read();
		if (head === undefined || signal.aborted || !canBeComplete) {
			return;
		}

		this.begin();
		this.isHeld = false;
		if (this.hasEnded) {
			this.end();
		} else {
			this.exchange?.resume();
		}
	}

	/** Ends the exchange, because another instance answers the call. */
	drop(): void {
		this.exchange?.abort();
		this.finish('dropped');
	}

	private readonly abort = (): void => {
		this.exchange?.abort();
		this.breakOff('unknown');
	};

	/** Passes on the head of the answer, from which on no other instance can answer the call. */
	private begin(): void {
		const {call: {race, sink}, head, hasBegun, isDone} = this;
		if (hasBegun || isDone || head === undefined) {
			return;
		}

		this.protect(() => {
			sink.begin(head.status, head.headers);
			this.hasBegun = true;
			race.prefer(this);
		});
		const {comments} = this;
		this.comments = [];
		for (const comment of comments) {
			this.write(comment);
		}
	}

	/** Passes bytes of the body on. The instance is paused while the caller does not read. */
	private write(chunk: Buffer): void {
		const {sink} = this.call;
		if (this.isDone) {
			return;
		}

		this.protect(() => {
			if (!sink.write(chunk)) {
				this.exchange?.pause();
				sink.onDrain(() => {
					this.exchange?.resume();
				});
			}
		});
	}

	/** Ends the answer. */
	private end(): void {
		if (this.isDone) {
			return;
		}

		// Instances of earlier releases pass such answers on, and the kernel closes the connections of a killed process in order.
		if (this.head?.isUnframed) {
			this.call.sink.destroy();
		} else {
			this.call.sink.end();
		}

		this.finish('answered');
	}

	/** Carries out a step of the answer; ends the call if it throws, as when the head can't be passed on. */
	private protect(step: () => void): void {
		try {
			step();
		} catch (error) {
			this.options.logger.warn('answer of another instance not passed on', {peer: this.call.peer.id, reason: (error as Error).message});
			this.exchange?.abort();
			this.breakOff('unknown');
		}
	}

	/** Ends the call if it can't go on, judged by what the instance has sent until now. */
	private async check(): Promise<void> {
		await waitForArrivedData();
		if (this.isDone) {
			return;
		}

		const {call: {peer, deadline}, options: {clock, probe, peers}, sentAt, hasBegun} = this;
		const now = clock.readMonotonic();
		const assessment = assessHandover({
			deadline: deadline.read(), hasBegun, lastHeardAt: probe.check(peer, sentAt, now), isMember: peers.isMember(peer.id),
		}, now);
		if (assessment === 'silent') {
			peers.recordSilent(peer.id);
			this.onSilent?.();
		} else if (assessment === 'expired' && this.isHeld) {
			this.release();
		} else if (assessment !== 'keep') {
			this.exchange?.abort();
			this.breakOff(assessment === 'broken' ? 'unknown' : assessment);
		}
	}

	/** Ends the call without a complete answer; `outcome` holds if the answer has not begun. */
	private breakOff(outcome: PeerOutcome): void {
		if (this.hasBegun) {
			this.call.sink.destroy();
		}

		this.finish(this.hasBegun ? 'answered' : outcome);
	}

	private finish(outcome: PeerOutcome): void {
		this.isDone = true;
		clearInterval(this.timer);
		this.call.signal.removeEventListener('abort', this.abort);
		this.onDone?.(outcome);
		this.call.race.remove(this);
	}
}
