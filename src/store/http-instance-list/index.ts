/** HTTP client of the platform's instance list. */

import {fetchJson} from '../../http/fetch-json/index.js';
import type {InstanceList, ListedInstance} from '../instance-list/index.js';

const callTimeoutMs = 1000;

/** Instance list at `GET {origin}/instances`. */
export class HttpInstanceList implements InstanceList {
	constructor(private readonly origin: string) {}

	async read(): Promise<readonly ListedInstance[]> {
		const response = await fetchJson<{items: readonly ListedInstance[]}>(`${this.origin}/instances`, {timeoutMs: callTimeoutMs});
		return response.items;
	}
}
