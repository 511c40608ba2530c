import {test} from 'node:test';
import {expect} from 'earl';
import {isConnectableAddress} from './index.js';

test('guards against addresses that make an attempt to connect throw or that go elsewhere', () => {
	expect(['10.0.0.1:1', '10.0.0.1:65535', 'engine-1.example:80'].map(text => isConnectableAddress(text))).toEqual([true, true, true]);
	const odd = [
		'',
		':80',
		'10.0.0.1',
		'10.0.0.1:',
		'10.0.0.1:0',
		'10.0.0.1:65536',
		'10.0.0.1:-1',
		'10.0.0.1:1e3',
		'10.0.0.1:0x50',
		'10.0.0.1: 80',
		'10.0.0.1:80 ',
		'10.0.0.1:8.5',
		'999.0.0.1:80',
		'10.0.0:80',
		'1:80',
		'a b:80',
		'http://10.0.0.1:80',
		'10.0.0.1:80/x',
		'10.0.0.1\r\nx:80',
		'-a:80',
		'a_b:80',
		'::1:80',
		'10.0.0.1:99999999999',
	];
	expect(odd.filter(text => isConnectableAddress(text))).toEqual([]);
});
