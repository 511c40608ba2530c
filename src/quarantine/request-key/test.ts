import {test} from 'node:test';
import {expect} from 'earl';
import type {OrganisationId} from '../../identity/ids/index.js';
import {hashRequest, requestKeyLength, type RequestIdentity} from './index.js';

function createIdentity(changes: Partial<RequestIdentity> = {}): RequestIdentity {
	return {
		method: 'POST', host: 'a.example', path: '/p?q=1', organisation: 'o' as OrganisationId, body: Buffer.from('body'), ...changes,
	};
}

test('guards against requests that share a key although caller, path or body differ', () => {
	const identities = [
		createIdentity(),
		createIdentity({method: 'PUT'}),
		createIdentity({host: 'b.example'}),
		createIdentity({path: '/p?q=2'}),
		createIdentity({organisation: 'p' as OrganisationId}),
		createIdentity({organisation: undefined}),
		createIdentity({body: Buffer.from('bodz')}),
		createIdentity({body: undefined}),
		createIdentity({path: '/p', body: Buffer.from('?q=1body')}),
	];
	expect(new Set(identities.map(identity => hashRequest(identity))).size).toEqual(identities.length);
});

test('gives a request that comes again the same key, without its content', () => {
	const key = hashRequest(createIdentity());
	expect(hashRequest(createIdentity({host: 'A.EXAMPLE'}))).toEqual(key);
	expect(key.length).toEqual(requestKeyLength);
	expect(key.includes('body')).toEqual(false);
});
