import {PassThrough} from 'node:stream';
import type {IncomingMessage} from 'node:http';
import {test} from 'node:test';
import {expect} from 'earl';
import {SystemClock} from '../../clock/clock/index.js';
import {RouterError} from '../../results/create-router-error/index.js';
import {BodyBudget} from '../body-budget/index.js';
import {BodyReader} from './index.js';

function createReader(contentLength?: number) {
	const message = Object.assign(new PassThrough(), {
		headers: contentLength === undefined ? {} : {'content-length': String(contentLength)}, complete: false,
	});
	const budget = new BodyBudget(() => ({heldBytes: 1_000_000, stallMs: 1000}));
	return {message, budget, reader: new BodyReader(message as unknown as IncomingMessage, budget, new SystemClock())};
}

async function readName(body: Promise<Buffer>): Promise<string> {
	const error = await body.catch((error_: unknown) => error_);
	return error instanceof RouterError ? error.entry.name : 'read';
}

test('guards against a body that no longer counts before its call has ended, or counts after it', async () => {
	const {message, budget, reader} = createReader();
	message.write('abc');
	message.end('def');
	const body = await reader.read(100);
	expect(body.toString()).toEqual('abcdef');
	expect([budget.heldBytes, budget.count]).toEqual([6, 1]);
	reader.release();
	reader.release();
	expect([budget.heldBytes, budget.count]).toEqual([0, 0]);
});

test('guards against counting a body that broke off or was refused', async () => {
	const broken = createReader();
	broken.message.write('abc');
	const result = readName(broken.reader.read(100));
	broken.message.destroy();
	expect(await result).toEqual('malformedRequest');
	expect([broken.budget.heldBytes, broken.budget.count]).toEqual([0, 0]);

	const tooLarge = createReader();
	tooLarge.message.write('a'.repeat(101));
	expect(await readName(tooLarge.reader.read(100))).toEqual('bodyTooLarge');
	expect([tooLarge.budget.heldBytes, tooLarge.budget.count, tooLarge.budget.refusals.tooLarge]).toEqual([0, 0, 1]);
});

test('refuses a body of an announced length above the limit before any of it has arrived', async () => {
	const {budget, reader} = createReader(101);
	expect(await readName(reader.read(100))).toEqual('bodyTooLarge');
	expect(budget.count).toEqual(0);
});
