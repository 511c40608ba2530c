/** Capacity of an instance, by which instances of different sizes share the work of a fleet. */

/** Processor and link of an instance. */
export type InstanceResources = {readonly coreShare: number; readonly cores: number; readonly linkMegabitsPerSecond: number};

/** Bandwidth that the traffic of one fully used core needs, in megabits per second. */
const linkMegabitsPerCore = 25;

/** Calculates the capacity in processor cores. A narrow link limits what the processor can serve. */
export function calculateCapacity({coreShare, cores, linkMegabitsPerSecond}: InstanceResources): number {
	return Math.min(coreShare * cores, linkMegabitsPerSecond / linkMegabitsPerCore);
}
