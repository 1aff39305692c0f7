/**
 * Simulated network between daemons: delay, loss, duplication and partitions between data centres.
 */
import {type Member} from '../../src/membership/types.ts';
import {type SimClock} from './sim-clock.ts';

export type NetworkFaults = {
	lossShare: number;
	duplicateShare: number;
	/** Upper bound of the random extra delay. */
	jitterMs: number;
};

export class SimNetwork {
	/**
	 * @example
	 * const network = SimNetwork.create(clock, random);
	 */
	static create(clock: SimClock, random: () => number): SimNetwork {
		return new SimNetwork(clock, random);
	}

	readonly faults: NetworkFaults = {lossShare: 0, duplicateShare: 0, jitterMs: 0};
	readonly counts = {sent: 0, lost: 0, duplicated: 0, partition: 0, delayed: 0};
	/** Pairs of data centres that can't reach each other, as `a|b` in both orders. */
	readonly #partitions = new Set<string>();

	private constructor(
		private readonly clock: SimClock,
		private readonly random: () => number,
	) {}

	/** Stops all messages between two data centres, in both directions. */
	cut(a: string, b: string): void {
		this.#partitions.add(`${a}|${b}`);
		this.#partitions.add(`${b}|${a}`);
	}

	/** Ends all partitions. */
	heal(): void {
		this.#partitions.clear();
	}

	/** Whether messages between two data centres are delivered. */
	canReach(a: string, b: string): boolean {
		return !this.#partitions.has(`${a}|${b}`);
	}

	/** Schedules the delivery of a message, which the faults may delay, duplicate or drop. */
	send(from: Member, to: Member, deliver: () => void | Promise<void>): void {
		this.counts.sent++;
		if (!this.canReach(from.dataCentre, to.dataCentre)) {
			this.counts.partition++;
			return;
		}

		if (this.random() < this.faults.lossShare) {
			this.counts.lost++;
			return;
		}

		this.clock.schedule(this.#pickDelayMs(from, to), deliver);
		if (this.random() < this.faults.duplicateShare) {
			this.counts.duplicated++;
			this.clock.schedule(this.#pickDelayMs(from, to), deliver);
		}
	}

	#pickDelayMs(from: Member, to: Member): number {
		const baseMs = from.region === to.region ? 1.5 : 30;
		const extraMs = this.random() * this.faults.jitterMs;
		this.counts.delayed += extraMs > 0 ? 1 : 0;
		return baseMs + extraMs;
	}
}
