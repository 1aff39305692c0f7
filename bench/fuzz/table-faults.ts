/**
 * Faults of the platform's table in a randomised run.
 */
import {type TableFault} from '../fakes/memory-table.ts';
import {type FaultCounts, pickElement} from './fault-kinds.ts';

export class TableFaults {
	/**
	 * @example
	 * const faults = TableFaults.create(counts, random);
	 * table.pickFault = operation => faults.pick(operation);
	 */
	static create(counts: FaultCounts, random: () => number): TableFaults {
		return new TableFaults(counts, random);
	}

	#plannedFaults: TableFault[] = [];
	#isTableDown = false;

	private constructor(
		private readonly counts: FaultCounts,
		private readonly random: () => number,
	) {}

	/** Ends an outage; planned faults of writes remain. */
	endOutage(): void {
		this.#isTableDown = false;
	}

	/** Ends all faults. */
	clear(): void {
		this.#plannedFaults = [];
		this.#isTableDown = false;
	}

	/** Starts an outage or plans faults for the next writes. */
	planFaults(): void {
		if (this.random() < 0.3) {
			this.#isTableDown = true;
			return;
		}

		const kinds: TableFault[] = ['lostAnswer', 'lostRequest', 'lateEffect', 'unreachable', 'none'];
		for (let count = 0; count < 6; count++) {
			this.#plannedFaults.push(pickElement(kinds, this.random));
		}
	}

	/** Returns the fault of the next operation and counts it. */
	pickFault(operation: 'read' | 'write'): TableFault {
		if (this.#isTableDown) {
			this.counts.tableOutage++;
			return 'unreachable';
		}

		const fault = operation === 'write' ? (this.#plannedFaults.shift() ?? 'none') : 'none';
		this.counts.lostAnswer += fault === 'lostAnswer' || fault === 'lostRequest' ? 1 : 0;
		this.counts.lateEffect += fault === 'lateEffect' ? 1 : 0;
		return fault;
	}
}
