/** Measures the slopes of the capacity page: `npm run capacity`. */

import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {measureBudgetState} from '../measure-budget-state/index.js';
import {measureCacheIndex} from '../measure-cache-index/index.js';
import {measureConfigurationChange} from '../measure-configuration-change/index.js';
import {measureConfigurationState} from '../measure-configuration-state/index.js';
import {measureControlCost} from '../measure-control-cost/index.js';
import {measureEngineReports} from '../measure-engine-reports/index.js';
import {measurePeerCalls} from '../measure-peer-calls/index.js';
import {measureTargetState} from '../measure-target-state/index.js';
import {formatSlopeTable, writeCapacityReport} from '../write-capacity-report/index.js';

const root = new URL('../../../', import.meta.url);
const measurements = [
	...await measureConfigurationState(),
	...await measureTargetState(),
	...await measureCacheIndex(),
	...await measureEngineReports(),
	...await measureConfigurationChange(),
	...await measureBudgetState(),
	...await measurePeerCalls(),
	...await measureControlCost(),
];
await writeCapacityReport(measurements, fileURLToPath(new URL('reports/capacity.json', root)), fileURLToPath(new URL('docs/CAPACITY.md', root)));
process.stdout.write(`${formatSlopeTable(measurements)}\n`);
