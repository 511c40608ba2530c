/**
 * Keeps a process running after an error that no caller handled.
 *
 * All calls of an instance share one process. An error in the callback of one timer, socket or listener must not end
 * the others; the call that caused it ends at its deadline.
 */

import type {EventLogger} from '../../logging/create-logger/index.js';

/** The events of a process that tell of unexpected errors. */
export type ErrorEvents = {on(event: 'uncaughtException' | 'unhandledRejection', listener: (reason: unknown) => void): unknown};

/** Logs uncaught exceptions and unhandled rejections of `target`, usually `process`, with their stack traces. */
export function logUnexpectedErrors(target: ErrorEvents, logger: EventLogger): void {
	target.on('uncaughtException', (error: unknown) => {
		logger.error('uncaught exception', {reason: formatReason(error)});
	});
	target.on('unhandledRejection', (reason: unknown) => {
		logger.error('unhandled rejection', {reason: formatReason(reason)});
	});
}

function formatReason(reason: unknown): string {
	return reason instanceof Error ? reason.stack ?? reason.message : String(reason);
}
