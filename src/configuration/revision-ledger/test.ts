import {test} from 'node:test';
import {expect} from 'earl';
import type {Revision} from '../../identity/ids/index.js';
import {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import type {ConfigurationHead, ContentHash} from '../configuration-head/index.js';
import {RevisionLedger} from './index.js';

function createHead(revision: number, contentHash: string): ConfigurationHead {
	return {
		revision: revision as Revision, contentHash: contentHash as ContentHash, parts: [], writer: 'entry-0/first',
	};
}

test('guards against one revision with two contents, which counts a violation in production and throws in strict mode', () => {
	const invariants = new InvariantChecker({isStrict: false});
	const ledger = new RevisionLedger(invariants);
	expect([ledger.record(createHead(1, 'a')), ledger.record(createHead(1, 'a')), ledger.record(createHead(1, 'b'))]).toEqual([true, true, false]);
	expect(invariants.violations.get('oneContentPerRevision')).toEqual(1);
	const strict = new RevisionLedger(new InvariantChecker({isStrict: true}));
	strict.record(createHead(1, 'a'));
	expect(() => strict.record(createHead(1, 'b'))).toThrow('invariant oneContentPerRevision is violated: revision 1 has the contents a and b');
});
