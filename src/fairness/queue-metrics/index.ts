/** Metrics of placement and of the fair queue. */

import {Counter, Gauge, Histogram} from 'prom-client';

export const queueLength = new Gauge({name: 'laburnumturn_queue_length', help: 'Requests that wait for an engine'});

/** Time that requests waited in the queue before they were placed on an engine. */
export const queueWaitSeconds = new Histogram({
	name: 'laburnumturn_queue_wait_seconds', help: 'Wait for an engine', labelNames: ['organisation'],
	buckets: [0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10],
});

/** Requests refused before they ran, because no engine could serve them in time. */
export const queueRefusals = new Counter({
	name: 'laburnumturn_queue_refusals_total', help: 'Requests refused as overloaded, not run', labelNames: ['organisation'],
});

/** Prompt tokens of placed requests. `placedCachedTokens` divided by it is the cache hit rate that the index expects. */
export const placedPromptTokens = new Counter({name: 'laburnumturn_placement_prompt_tokens_total', help: 'Prompt tokens of placed requests'});

/** Prompt tokens of placed requests that the chosen engine was expected to have in its cache. */
export const placedCachedTokens = new Counter({
	name: 'laburnumturn_placement_cached_tokens_total', help: 'Prompt tokens of placed requests that the index knew as cached at the chosen engine',
});
