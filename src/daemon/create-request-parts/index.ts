/** The parts of the request path that belong to the daemon as a whole. */

import {Registry} from 'prom-client';
import {createServiceConnections} from '../../requests/forward-call/index.js';
import {IdempotencyRecords} from '../../requests/idempotency-records/index.js';
import {RequestMetrics} from '../../requests/request-metrics/index.js';
import {RetryBudget} from '../../requests/retry-budget/index.js';
import type {RouterContext} from '../../requests/router-context/index.js';
import type {DaemonCore} from '../create-core/index.js';

/** Parts of a `RouterContext` that the request path keeps for itself. */
export type RequestParts = Pick<RouterContext, 'metrics' | 'idempotency' | 'retryBudget' | 'serviceConnections'>;

/** Creates the parts and registers their start and stop. */
export function createRequestParts({objectApi, clock, invariants, parts}: DaemonCore, registry: Registry = new Registry()): RequestParts {
	const metrics = new RequestMetrics({registry, invariants});
	const idempotency = new IdempotencyRecords({objectApi, clock, metrics});
	const retryBudget = new RetryBudget();
	const serviceConnections = createServiceConnections();
	const controller = new AbortController();
	parts.register({
		name: 'requests',
		start() {
			void idempotency.run(controller.signal);
		},
		async stop() {
			controller.abort();
			await serviceConnections.destroy();
		},
		dump: () => ({retryBudget: retryBudget.readLevel()}),
	});
	return {
		metrics, idempotency, retryBudget, serviceConnections,
	};
}
