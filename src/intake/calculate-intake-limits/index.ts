/** Derives what callers may take of a process from the memory and the descriptors of its machine. */

import type {BodyLimits} from '../body-budget/index.js';

/** What the settings state. */
export type IntakeSettings = {
	/** Memory of the machine, in units of 2^20 bytes. */
	readonly memoryMb?: number | undefined;
	/** Descriptors that the process may open. */
	readonly descriptors?: number | undefined;
	readonly callers: {
		readonly heldBodyBytes?: number | undefined;
		readonly connections?: number | undefined;
		readonly bodyStallMs: number;
	};
};

/** Limits of what callers take. */
export type IntakeLimits = BodyLimits & {
	/** Connections of callers; undefined if they are not limited. */
	readonly connections: number | undefined;
};

const bytesPerMb = 1024 * 1024;
/** Memory that the program and its heap take under load: a heap limit of 90 MB, and the code and buffers of Node.js. */
const programBytes = 128 * bytesPerMb;
/** Share of the other memory for bodies. Buffers that are no longer used take memory until they are collected. */
const bodyMemoryShare = 0.5;
/** Room for a few bodies of the usual limit of 4 MiB, however small the machine is. */
const minimumHeldBodyBytes = 16 * bytesPerMb;
/** Memory for bodies where that of the machine is not stated. */
const defaultHeldBodyBytes = 64 * bytesPerMb;
/** Descriptors that are not for callers and their calls: listeners, the store, other instances and targets' pools. */
const reservedDescriptors = 200;
/** A call takes a connection of its caller and one to its target. */
const descriptorsPerCall = 2;

/** Calculates the limits; what the settings state for callers goes before what the machine has. */
export function calculateIntakeLimits({memoryMb, descriptors, callers}: IntakeSettings): IntakeLimits {
	const machineHeldBytes = memoryMb === undefined
		? defaultHeldBodyBytes
		: Math.max(minimumHeldBodyBytes, ((memoryMb * bytesPerMb) - programBytes) * bodyMemoryShare);
	const machineConnections = descriptors === undefined
		? undefined
		: Math.max(1, Math.floor((descriptors - reservedDescriptors) / descriptorsPerCall));
	return {
		heldBytes: callers.heldBodyBytes ?? machineHeldBytes,
		stallMs: callers.bodyStallMs,
		connections: callers.connections ?? machineConnections,
	};
}
