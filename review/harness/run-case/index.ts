/** Runs a case. The exit status tells the verdict to `run.sh`; a crash of this process has another one. */

import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {CaseRecord} from '../case-record/index.js';
import {Deployment} from '../deployment/index.js';

/** What a case gets. `isTroubled`: whether the disruption happens. */
export type CaseContext = {readonly record: CaseRecord; readonly deployment: Deployment; readonly isTroubled: boolean};

/** Breaches of the rule, in words; empty if it held. */
export type Breaches = readonly string[];

const timeLimitMs = 110_000;
const heldStatus = 0;
const brokenStatus = 10;
const notRunStatus = 20;

/** Runs `scenario`. The first argument of the process is the folder of the record. */
export async function runCase(scenario: (context: CaseContext) => Promise<Breaches>): Promise<void> {
	const record = new CaseRecord(join(process.argv[2] ?? '.', 'record.txt'));
	const directory = mkdtempSync(join(tmpdir(), 'review-'));
	const deployment = new Deployment(directory, record);
	const isTroubled = process.env.TROUBLE !== '0';
	process.exitCode = notRunStatus;
	try {
		record.note('started', {trouble: isTroubled});
		const breaches = await Promise.race([scenario({record, deployment, isTroubled}), rejectAtLimit()]);
		for (const breach of breaches.length > 0 ? breaches : ['the rule held']) {
			record.note(`verdict: ${breach}`);
			console.log(breach);
		}

		process.exitCode = breaches.length > 0 ? brokenStatus : heldStatus;
	} catch (error) {
		record.note('case could not run', {reason: (error as Error).stack});
		console.error(error);
	}

	await deployment.close();
	record.note('ended');
	record.save();
	rmSync(directory, {recursive: true, force: true});
}

async function rejectAtLimit(): Promise<never> {
	await delay(timeLimitMs, undefined, {ref: false});
	throw new Error('time limit reached');
}
