#!/usr/bin/env node
/** Fails if modules import each other in a circle; imports of types count, too. Prints one circle for each module that is in any. */

import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const importPattern = /^(?:import|export)\s[^;]*?\sfrom '(\.[^']+)';$/gmu;

/** Lists the modules in a folder and below it. */
function listModules(folder) {
	return readdirSync(folder, {recursive: true}).filter(name => name.endsWith('.ts')).map(name => path.join(folder, name));
}

/** Lists the modules that a module imports. */
function listImports(file) {
	return [...readFileSync(file, 'utf8').matchAll(importPattern)].map(([, target]) => path.join(path.dirname(file), target).replace(/\.js$/u, '.ts'));
}

/** Finds the shortest circle through a module; undefined if there is none. */
function findCircle(start, importsByFile) {
	const paths = [[start]];
	const seen = new Set();
	for (const trail of paths) {
		for (const next of importsByFile.get(trail.at(-1)) ?? []) {
			if (next === start) {
				return [...trail, start];
			}

			if (!seen.has(next)) {
				seen.add(next);
				paths.push([...trail, next]);
			}
		}
	}

	return undefined;
}

const files = ['src', 'platform'].flatMap(folder => listModules(folder));
const importsByFile = new Map(files.map(file => [file, listImports(file)]));
const circles = files.map(file => findCircle(file, importsByFile)).filter(circle => circle !== undefined);
for (const circle of circles) {
	process.stdout.write(`Circle of imports: ${circle.join(' -> ')}\n`);
}

process.exitCode = circles.length > 0 ? 1 : 0;
