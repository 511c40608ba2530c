/** Runs the measurements of the capacity page: `npm run capacity`. */

import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {measureBudgetState} from '../measure-budget-state/index.js';
import {measureCacheIndex} from '../measure-cache-index/index.js';
import {measureConfigurationChange} from '../measure-configuration-change/index.js';
import {measureConfigurationState} from '../measure-configuration-state/index.js';
import {measureHeartbeatCost} from '../measure-heartbeat-cost/index.js';
import {measureEngineReports} from '../measure-engine-reports/index.js';
import {measurePeerCalls} from '../measure-peer-calls/index.js';
import {measureEngineMonitors} from '../measure-engine-monitors/index.js';
import {formatSlopeTable, writeCapacityReport} from '../write-capacity-report/index.js';

const root = new URL('../../../', import.meta.url);
const measurements = [
	...await measureConfigurationState(),
	...await measureEngineMonitors(),
	...await measureCacheIndex(),
	...await measureEngineReports(),
	...await measureConfigurationChange(),
	...await measureBudgetState(),
	...await measurePeerCalls(),
	...await measureHeartbeatCost(),
];
await writeCapacityReport(measurements, fileURLToPath(new URL('reports/capacity.json', root)), fileURLToPath(new URL('docs/CAPACITY.md', root)));
process.stdout.write(`${formatSlopeTable(measurements)}\n`);
