/**
 * Software versions that may have begun the streams which callers still take up, by service: those of the listed targets,
 * and those of targets that left not long ago.
 */

import type {TargetDescription} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs, SoftwareVersion} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

/** Versions by service, in order, as other instances and the object API get them. */
export type SoftwareVersions = Readonly<Record<string, readonly SoftwareVersion[]>>;

/** A version that is no longer listed counts until then; `Infinity` while it is listed. */
type Versions = Map<SoftwareVersion, number>;

/** Versions that serve or served. */
export class SoftwareHistory {
	private readonly services = new Map<ServiceId, Versions>();

	/** `readMemoryMs` returns for how long a version counts after its last target has left, in milliseconds. */
	constructor(private readonly readMemoryMs: () => number) {}

	/** Takes over the list of targets as it is at `now`. */
	observe(targets: ReadonlyArray<Pick<TargetDescription, 'service' | 'softwareVersion'>>, now: MonotonicMs): void {
		const listed = new Map<ServiceId, Set<SoftwareVersion>>();
		for (const {service, softwareVersion} of targets) {
			const versions = listed.get(service) ?? new Set();
			listed.set(service, versions.add(softwareVersion));
		}

		for (const [service, versions] of this.services) {
			for (const [version, endsAt] of versions) {
				if (endsAt === Infinity && listed.get(service)?.has(version) !== true) {
					versions.set(version, now + this.readMemoryMs());
				}
			}
		}

		for (const [service, versions] of listed) {
			for (const version of versions) {
				this.open(service).set(version, Infinity);
			}
		}
	}

	/** Adds versions that served before this instance started, or that another instance knows. */
	addEarlier(earlier: SoftwareVersions, now: MonotonicMs): void {
		for (const [service, versions] of Object.entries(earlier)) {
			const known = this.open(service as ServiceId);
			for (const version of versions) {
				known.set(version, known.get(version) ?? now + this.readMemoryMs());
			}
		}
	}

	/** Lists the versions of a service that count at `now`. */
	list(service: ServiceId, now: MonotonicMs): SoftwareVersion[] {
		return [...this.services.get(service) ?? []].filter(([, endsAt]) => endsAt > now).map(([version]) => version).toSorted();
	}

	/** Whether streams of two versions of any service may be taken up. */
	hasSeveral(now: MonotonicMs): boolean {
		return [...this.services.keys()].some(service => this.list(service, now).length > 1);
	}

	/** Returns the versions of all services. */
	read(now: MonotonicMs): SoftwareVersions {
		const services = [...this.services.keys()].toSorted();
		return Object.fromEntries(services.map(service => [service, this.list(service, now)] as const).filter(([, versions]) => versions.length > 0));
	}

	private open(service: ServiceId): Versions {
		const versions = this.services.get(service) ?? new Map<SoftwareVersion, number>();
		this.services.set(service, versions);
		return versions;
	}
}
