/**
 * Tells other instances which targets say that they are leaving.
 *
 * An instance that sees the statement in an answer sends a notice, and repeats it unless another instance has sent one
 * meanwhile: many instances may see the statement at the same moment, and one that hears of it first sends nothing.
 */

import {z} from 'zod';
import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {TargetId} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {Member} from '../../membership/member/index.js';
import type {DatagramTransport} from '../../peers/datagram-channel/index.js';
import {sendRepeatedly} from '../../peers/send-repeatedly/index.js';
import type {IncarnationStatements} from '../incarnation-statements/index.js';
import type {TargetIncarnation} from '../statement-register/index.js';

/** Message type of the datagrams. */
export const leavingMessageType = 'targetLeaving';
/** Pauses before a notice is sent again, in milliseconds, because datagrams may be lost. */
const repeatDelaysMs = [150, 500];
const maximumIdLength = 200;

/** The start distinguishes a target from one that restarted under the same id. */
const messageSchema = z.object({target: z.string().min(1).max(maximumIdLength), startedAt: z.number()});

/** Sends notices of leaving targets. */
export type LeavingAnnouncer = {
	announce(target: FleetTarget): void;
};

/** Announcer without other instances. */
export const silentAnnouncer: LeavingAnnouncer = {
	announce() {
		// There is nobody to tell.
	},
};

/** Options of `LeavingNotices`. */
export type LeavingNoticesOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: TargetFleet;
	readonly channel: DatagramTransport;
	/** Live instances other than this one. */
	readonly listPeers: () => readonly Member[];
};

/** Sends notices, and applies those of other instances. */
export class LeavingNotices implements LeavingAnnouncer {
	/** Gauges of the metrics. */
	readonly gauges = {
		leaving_targets: {help: 'Targets that say in answers that they are leaving.', read: () => this.listLeaving().length},
		leaving_notices_sent: {help: 'Notices of leaving targets sent to other instances since the start.', read: () => this.sentNotices},
	};

	private readonly confirmed = new WeakSet<IncarnationStatements>();
	private sentNotices = 0;

	constructor(private readonly options: LeavingNoticesOptions) {
		options.channel.register(leavingMessageType, body => {
			this.receive(body);
		});
	}

	announce(target: FleetTarget): void {
		void sendRepeatedly(() => {
			this.send(target);
		}, repeatDelaysMs, this.options.clock, () => this.confirmed.has(target.statements));
	}

	/** Applies what another instance says of a target, which may not be listed here now. */
	apply(incarnation: TargetIncarnation): void {
		const {logger, fleet, clock} = this.options;
		if (fleet.statements.get(incarnation, clock.readMonotonic()).recordLeaving()) {
			logger.info('target leaving', {target: incarnation.id, source: 'instance'});
			fleet.notify();
		}
	}

	private send({description: {id, startedAt}}: FleetTarget): void {
		const addresses = this.options.listPeers().map(({peerAddress}) => peerAddress);
		this.sentNotices += addresses.length;
		this.options.channel.send(addresses, leavingMessageType, {target: id, startedAt});
	}

	private receive(body: unknown): void {
		const {logger, fleet, clock} = this.options;
		const parsed = messageSchema.safeParse(body);
		if (!parsed.success) {
			logger.warn('leaving notice refused', {reason: parsed.error.message});
			return;
		}

		const incarnation = {id: parsed.data.target as TargetId, startedAt: parsed.data.startedAt};
		this.confirmed.add(fleet.statements.get(incarnation, clock.readMonotonic()));
		this.apply(incarnation);
	}

	private listLeaving(): FleetTarget[] {
		return [...this.options.fleet.list()].filter(target => target.hasStatedLeaving);
	}
}
