/**
 * Network between daemons in one process: delay, loss, duplication and cuts between data centres.
 */
import {type Member} from '../../src/membership/types.ts';
import {type SimClock} from './sim-clock.ts';

export type NetworkFaults = {
	lossShare: number;
	duplicateShare: number;
	/** Longest extra delay in milliseconds. */
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
	readonly counts = {sent: 0, lost: 0, duplicated: 0, cut: 0, delayed: 0};
	/** Pairs of data centres that can't reach one another, as `a|b` in both orders. */
	readonly #cuts = new Set<string>();

	private constructor(
		private readonly clock: SimClock,
		private readonly random: () => number,
	) {}

	cut(a: string, b: string): void {
		this.#cuts.add(`${a}|${b}`);
		this.#cuts.add(`${b}|${a}`);
	}

	/** Ends all cuts. */
	heal(): void {
		this.#cuts.clear();
	}

	/** Tells whether messages between two data centres arrive. */
	canReach(a: string, b: string): boolean {
		return !this.#cuts.has(`${a}|${b}`);
	}

	/** Delivers a message, maybe twice, late or not at all. */
	send(from: Member, to: Member, deliver: () => void | Promise<void>): void {
		this.counts.sent++;
		if (!this.canReach(from.dataCentre, to.dataCentre)) {
			this.counts.cut++;
			return;
		}

		if (this.random() < this.faults.lossShare) {
			this.counts.lost++;
			return;
		}

		this.clock.schedule(this.#pickDelay(from, to), deliver);
		if (this.random() < this.faults.duplicateShare) {
			this.counts.duplicated++;
			this.clock.schedule(this.#pickDelay(from, to), deliver);
		}
	}

	#pickDelay(from: Member, to: Member): number {
		const baseMs = from.region === to.region ? 1.5 : 30;
		const extraMs = this.random() * this.faults.jitterMs;
		this.counts.delayed += extraMs > 0 ? 1 : 0;
		return baseMs + extraMs;
	}
}
