/** Charges a call to the quota of its organisation. */

import type {CallerOrganisation} from '../../routing/routing-types/index.js';
import type {EngineWork} from '../call-types/index.js';
import type {QuotaGate} from '../forwarding-context/index.js';

/** Quota charge of one call. */
export class CallCharge {
	private chargedTokens = 0;

	constructor(
		private readonly gate: QuotaGate,
		private readonly organisation: CallerOrganisation | undefined,
		private readonly work: EngineWork | undefined,
	) {}

	/** Charges the call; resolves to whether it is within the quota. */
	async charge(): Promise<boolean> {
		const quota = this.organisation?.quota;
		if (this.organisation === undefined || quota === undefined) {
			return true;
		}

		const countsTokens = quota.countsTokens && this.work !== undefined;
		const tokens = countsTokens ? this.work.promptTokens + this.work.maximumOutputTokens : quota.plainCallTokens;
		const isCharged = await this.gate.charge(this.organisation, tokens);
		this.chargedTokens = isCharged ? tokens : 0;
		return isCharged;
	}

	/** Refunds the charge of a call that did not run. */
	refund(): void {
		if (this.organisation !== undefined && this.chargedTokens > 0) {
			this.gate.refund(this.organisation, this.chargedTokens);
			this.chargedTokens = 0;
		}
	}
}
