import {test} from 'node:test';
import {expect} from 'earl';
import {Registry} from 'prom-client';
import {AdmissionMetrics} from './index.js';

test('guards against waits and refusals that operators can\'t see by priority and reason', async () => {
	const registry = new Registry();
	const waiting = new Map([[0, 2], [3, 1]]);
	const metrics = new AdmissionMetrics(registry, () => waiting);
	metrics.recordWait(3, 'refused', 120);
	metrics.recordRefusal(3, 'overload');
	metrics.recordYield(2);
	const text = await registry.metrics();
	for (const line of [
		'laburnumturn_gateway_admission_waiting_calls{priority="3"} 1',
		'laburnumturn_gateway_admission_refusals_total{priority="3",reason="overload"} 1',
		'laburnumturn_gateway_admission_yields_total{priority="2"} 1',
		'laburnumturn_gateway_admission_wait_seconds_count{priority="3",outcome="refused"} 1',
	]) {
		expect([line, text.includes(line)]).toEqual([line, true]);
	}

	waiting.delete(3);
	const laterText = await registry.metrics();
	expect(laterText.includes('waiting_calls{priority="3"}')).toEqual(false);
});
