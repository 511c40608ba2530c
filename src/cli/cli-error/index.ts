/** Failures of the command-line tool and their exit codes. */

import {ObjectApiError, type ObjectApiFailure} from '../../store/object-api/index.js';
import {RouterError} from '../../results/create-router-error/index.js';

/** Exit codes; docs/cli.md has the table. A command line that cannot be parsed exits with 1. */
export const exitCodes = {
	invalid: 2, conflict: 3, notFound: 4, unavailable: 5, refused: 6, internal: 70,
} as const;

/** A failure with an exit code. */
export class CliError extends Error {
	constructor(readonly reason: keyof typeof exitCodes, message: string) {
		super(message);
		this.name = 'CliError';
	}
}

const reasonByFailure: Readonly<Record<ObjectApiFailure, keyof typeof exitCodes>> = {
	conflict: 'conflict', notFound: 'notFound', unavailable: 'unavailable', unknownOutcome: 'unavailable',
	rateLimited: 'unavailable', tooLarge: 'invalid', expired: 'unavailable',
};

/** Converts any error to a `CliError`, so that each has an exit code. */
export function convertToCliError(error: unknown): CliError {
	if (error instanceof CliError) {
		return error;
	}

	if (error instanceof ObjectApiError) {
		return new CliError(reasonByFailure[error.failure], `object API: ${error.message}`);
	}

	const {code, message} = error as {code?: string; message: string};
	if (error instanceof RouterError || code === 'ENOENT') {
		return new CliError('invalid', message);
	}

	return new CliError(code === 'ECONNREFUSED' ? 'unavailable' : 'internal', message);
}

/** Runs a command; prints an error to standard error and sets the exit code. */
export async function runCommand(run: () => Promise<void>): Promise<void> {
	try {
		await run();
	} catch (error) {
		const failure = convertToCliError(error);
		process.stderr.write(`laburnumturn: ${failure.message}\n`);
		process.exitCode = exitCodes[failure.reason];
	}
}
