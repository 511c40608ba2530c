import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {expect} from 'earl';
import {parseGatewaySettings} from './index.js';

const template = readFileSync('deploy/settings.jsonc', 'utf8');
const sectionPattern = /\{\{#([^}]+)\}\}(.*?)\{\{\/\1\}\}/gsu;
const valuePattern = /\{\{([^}]+)\}\}/gu;
const values: Readonly<Record<string, string>> = {
	'seeds|json': '[]', ip: '127.0.0.1', 'internal-ports.0': '7600', 'internal-ports.1': '7601', 'limits.memory-mb': '160', 'limits.max-fds': '2212',
};

/** Fills the template; `present` tells whether the sections are. */
function expandTemplate(present: boolean): string {
	return template
		.replaceAll(sectionPattern, (_section, _name, content: string) => present ? content : '')
		.replaceAll(valuePattern, (_value, name: string) => values[name] ?? (name.endsWith('|json') ? '"127.0.0.1:1"' : '0.1'));
}

test('guards against a template that gives invalid settings where memory and descriptors of the machine are absent', () => {
	const {memoryMb, descriptors, callers} = parseGatewaySettings(expandTemplate(false), 'settings.jsonc');
	expect({memoryMb, descriptors, callers}).toEqual({memoryMb: undefined, descriptors: undefined, callers: {bodyStallMs: 30_000}});
});

test('takes memory and descriptors of the machine from the template', () => {
	const {memoryMb, descriptors} = parseGatewaySettings(expandTemplate(true), 'settings.jsonc');
	expect([memoryMb, descriptors]).toEqual([160, 2212]);
});
