/** Guards of one instance against calls that crash targets: by a part of their prompts, or as whole requests. Both share a collection. */

import type {StoredObject} from '../../store/object-api/index.js';
import {PromptQuarantine} from '../prompt-quarantine/index.js';
import {isRequestRecord} from '../request-codec/index.js';
import {shareProbes} from '../share-probes/index.js';
import {RequestQuarantine, type RequestQuarantineOptions} from '../request-quarantine/index.js';

/** Both guards. */
export class FleetQuarantine {
	readonly prompts: PromptQuarantine;
	readonly requests: RequestQuarantine;

	constructor(options: RequestQuarantineOptions) {
		const probe = shareProbes(options.probe);
		this.prompts = new PromptQuarantine({...options, probe});
		this.requests = new RequestQuarantine({...options, probe});
	}

	/** Gauges for the metrics of the instance. */
	get gauges() {
		return {...this.prompts.gauges, ...this.requests.gauges};
	}

	/** Removes quarantines that are no longer needed, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.prompts.run(signal), this.requests.run(signal)]);
	}

	/** Takes over the stored quarantines. */
	replaceStored(objects: readonly StoredObject[], version: string | undefined): void {
		this.prompts.replaceStored(objects.filter(object => !isRequestRecord(object)), version);
		this.requests.replaceStored(objects.filter(object => isRequestRecord(object)), version);
	}

	dump() {
		return {prompts: this.prompts.dump(), requests: this.requests.dump()};
	}
}
