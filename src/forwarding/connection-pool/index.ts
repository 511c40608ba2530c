/**
 * Connections to targets. Calls that may run once only get a new connection: on a kept one a reset
 * would not tell whether the call ran, and a late answer to an earlier call could arrive first.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import {TargetConnection} from '../target-connection/index.js';

/** Time for opening a connection, in milliseconds. Targets are a few milliseconds away. */
const connectTimeoutMs = 400;
/** Idle connections kept to one target. */
const maximumIdle = 4;

type IdleConnection = {readonly connection: TargetConnection; readonly since: MonotonicMs};

/** Idle time after which a kept connection is not trusted any more, in milliseconds. */
const longestIdleMs = 3000;

/** Keeps idle connections by target. */
export class ConnectionPool {
	private readonly idle = new Map<FleetTarget, IdleConnection[]>();

	/** Takes a connection to `target`; with `isFresh`, one that no call has used. */
	take(target: FleetTarget, isFresh: boolean, now: MonotonicMs): TargetConnection {
		const kept = this.idle.get(target);
		while (!isFresh && kept !== undefined && kept.length > 0) {
			const {connection, since} = kept.pop()!;
			if (connection.isReusable && now - since < longestIdleMs) {
				return connection;
			}

			connection.close();
		}

		return new TargetConnection(target.description.address, connectTimeoutMs);
	}

	/** Returns a connection whose call was answered completely. */
	giveBack(target: FleetTarget, connection: TargetConnection, now: MonotonicMs): void {
		const kept = this.idle.get(target) ?? [];
		if (!connection.isReusable || kept.length >= maximumIdle) {
			connection.close();
			return;
		}

		kept.push({connection, since: now});
		this.idle.set(target, kept);
	}

	/** Closes idle connections that are too old or whose target is not in `targets` any more. */
	prune(targets: ReadonlySet<FleetTarget>, now: MonotonicMs): void {
		for (const [target, kept] of this.idle) {
			const usable = targets.has(target) ? kept.filter(({since}) => now - since < longestIdleMs) : [];
			for (const {connection} of kept.filter(entry => !usable.includes(entry))) {
				connection.close();
			}

			if (usable.length > 0) {
				this.idle.set(target, usable);
			} else {
				this.idle.delete(target);
			}
		}
	}
}
