import {test} from 'node:test';
import {expect} from 'earl';
import {bodyEncoding, compressBody, decompressBody} from './index.js';

const limitBytes = 1_000_000;

test('guards against large answers that take longer on a thin link than they have to', async () => {
	const text = JSON.stringify(Array.from({length: 2000}, (_, index) => ({name: `route${index}`, service: 'chat', timeoutMs: 4000})));
	const body = await compressBody(text, bodyEncoding);
	expect(body.bytes.length < text.length / 5).toEqual(true);
	expect(await decompressBody(body, limitBytes)).toEqual(text);
});

test('guards against compressed answers to instances of releases that cannot read them', async () => {
	const {encoding} = await compressBody('x'.repeat(100_000), undefined);
	expect(encoding).toEqual(undefined);
});

test('guards against a half-arrived answer that counts, and against one that fills the memory', async () => {
	const body = await compressBody('x'.repeat(100_000), bodyEncoding);
	await expect(decompressBody({...body, bytes: body.bytes.subarray(0, -10)}, limitBytes)).toBeRejected();
	await expect(decompressBody(body, 1000)).toBeRejected();
});
