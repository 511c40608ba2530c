/** Measures the slopes of the capacity page: `npm run capacity`. */

import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {measureCacheIndex} from '../measure-cache-index/index.js';
import {measureConfigurationState} from '../measure-configuration-state/index.js';
import {measureEngineReports} from '../measure-engine-reports/index.js';
import {measureTargetState} from '../measure-target-state/index.js';
import {formatSlopeTable, writeCapacityReport} from '../write-capacity-report/index.js';

const root = new URL('../../../', import.meta.url);
const measurements = [
	...await measureConfigurationState(),
	...await measureTargetState(),
	...await measureCacheIndex(),
	...await measureEngineReports(),
];
await writeCapacityReport(measurements, fileURLToPath(new URL('reports/capacity.json', root)), fileURLToPath(new URL('docs/CAPACITY.md', root)));
process.stdout.write(`${formatSlopeTable(measurements)}\n`);
