import {test} from 'node:test';
import {expect} from 'earl';
import {createOrganisation, createRoute, createRoutingConfiguration} from '../../fixtures/create-routing-configuration/index.js';
import {hashKey} from '../../keys/hash-key/index.js';
import {RoutingTable} from './index.js';

test('finds the route with the longest matching prefix, of the same host only', () => {
	const table = new RoutingTable(createRoutingConfiguration({
		routes: [createRoute('short', {pathPrefix: '/a/'}), createRoute('long', {pathPrefix: '/a/b/'}), createRoute('other', {host: 'other.example', pathPrefix: '/a/b/c/'})],
	}));
	expect(table.findRoute('Host.example', '/a/b/c/x')?.id as string).toEqual('long');
	expect(table.findRoute('host.example:80', '/a/x')?.id as string).toEqual('short');
	expect(table.findRoute('host.example', '/ab/')).toEqual(undefined);
	expect(table.findRoute('unknown.example', '/a/b/')).toEqual(undefined);
});

test('guards against accepting a withdrawn key', () => {
	const before = new RoutingTable(createRoutingConfiguration({organisations: [createOrganisation('org', {keyHashes: [hashKey('one'), hashKey('two')]})]}));
	const after = new RoutingTable(createRoutingConfiguration({organisations: [createOrganisation('org', {keyHashes: [hashKey('two')]})]}));
	expect(before.findOrganisationByKey(hashKey('one'))?.id as string).toEqual('org');
	expect(after.findOrganisationByKey(hashKey('one'))).toEqual(undefined);
	expect(after.findOrganisationByKey(hashKey('two'))?.id as string).toEqual('org');
});
