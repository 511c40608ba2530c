/**
 * The instances that have the same call. One that is silent may go on, and the next one may fail. So each keeps the call until
 * one of them delivers a part of its answer. That one goes on alone: the others are ended in the same turn of the event loop.
 */

/** An instance that has the call. */
export type Contender = {
	/** Passes on what has arrived of its answer, if anything; no other instance has the call any more. */
	release(): void;
	/** Ends the call there, because another one answers it. */
	drop(): void;
};

/** Lets one of several instances answer a call. */
export class AnswerRace {
	private readonly contenders = new Set<Contender>();

	/** Adds an instance that gets the call. */
	add(contender: Contender): void {
		this.contenders.add(contender);
	}

	/** Whether no other instance has the call. */
	isAlone(contender: Contender): boolean {
		return this.contenders.size === 1 && this.contenders.has(contender);
	}

	/** Lets an instance go on alone. */
	prefer(preferred: Contender): void {
		const others = [...this.contenders].filter(contender => contender !== preferred);
		for (const other of others) {
			this.contenders.delete(other);
			other.drop();
		}
	}

	/** Removes an instance whose exchange has ended. */
	remove(contender: Contender): void {
		const isRemoved = this.contenders.delete(contender);
		const [last] = this.contenders;
		if (isRemoved && last !== undefined && this.contenders.size === 1) {
			last.release();
		}
	}
}
