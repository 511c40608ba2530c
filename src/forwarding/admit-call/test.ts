import {test} from 'node:test';
import {expect} from 'earl';
import {admitCall, type Admission} from './index.js';

function createAdmission(isKnown: boolean, hasBudget: boolean) {
	const steps: string[] = [];
	const admission: Admission = {
		origin: {
			async bindTakenUp() {
				steps.push('bind');
				return isKnown;
			},
		},
		charge: {
			async charge() {
				steps.push('charge');
				return hasBudget;
			},
		},
		draw: () => 0,
	};
	return {admission, steps};
}

test('guards against charging a call that is refused because the software of its stream is unknown', async () => {
	const {admission, steps} = createAdmission(false, true);
	const error = await admitCall(admission);
	expect([error?.entry.name, steps]).toEqual(['softwareUnknown', ['bind']]);
});

test('refuses a call beyond the budget with a time to return, and admits others', async () => {
	const refused = await admitCall(createAdmission(true, false).admission);
	expect([refused?.entry.name, refused?.retryAfterSeconds !== undefined]).toEqual(['budgetExceeded', true]);
	expect(await admitCall(createAdmission(true, true).admission)).toEqual(undefined);
});
