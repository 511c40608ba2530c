/**
 * The software version that the stream of one call is bound to.
 *
 * What two versions write doesn't fit together, and targets don't check it. From the first event that a caller has, its
 * stream goes on only at targets of the version that wrote this event.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {SoftwareVersion} from '../../identity/ids/index.js';

/** Binds a stream to a version. */
export class StreamOrigin {
	private software: SoftwareVersion | undefined;

	/** Whether the stream has events, so that it goes on only at one version. */
	get isBound(): boolean {
		return this.software !== undefined;
	}

	/** The version that wrote the first event; undefined before it. */
	read(): SoftwareVersion | undefined {
		return this.software;
	}

	/** Binds the stream to the version that wrote its first event. Returns whether it was not bound before. */
	bind(software: SoftwareVersion): boolean {
		if (this.software !== undefined) {
			return false;
		}

		this.software = software;
		return true;
	}

	/** Whether the call may be sent to `target`. */
	allows({description}: FleetTarget): boolean {
		return this.software === undefined || description.softwareVersion === this.software;
	}
}
