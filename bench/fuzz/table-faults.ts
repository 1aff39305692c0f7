/**
 * Faults of the platform's table in a randomised run.
 */
import {type TableFault} from '../fakes/memory-table.ts';
import {type FaultCounts, pickOne} from './fault-kinds.ts';

export class TableFaults {
	/**
	 * @example
	 * const faults = TableFaults.create(counts, random);
	 * table.pickFault = operation => faults.pick(operation);
	 */
	static create(counts: FaultCounts, random: () => number): TableFaults {
		return new TableFaults(counts, random);
	}

	#planned: TableFault[] = [];
	#isDown = false;

	private constructor(
		private readonly faults: FaultCounts,
		private readonly random: () => number,
	) {}

	/** Ends an outage; planned faults of writes still come. */
	endOutage(): void {
		this.#isDown = false;
	}

	/** Ends all faults. */
	clear(): void {
		this.#planned = [];
		this.#isDown = false;
	}

	/** Begins an outage, or plans faults for the next writes. */
	planFaults(): void {
		if (this.random() < 0.3) {
			this.#isDown = true;
			return;
		}

		const kinds: TableFault[] = ['lostAnswer', 'lostRequest', 'lateEffect', 'unreachable', 'none'];
		for (let count = 0; count < 6; count++) {
			this.#planned.push(pickOne(kinds, this.random));
		}
	}

	pickFault(operation: 'read' | 'write'): TableFault {
		if (this.#isDown) {
			this.faults.tableOutage++;
			return 'unreachable';
		}

		const fault = operation === 'write' ? (this.#planned.shift() ?? 'none') : 'none';
		this.faults.lostAnswer += fault === 'lostAnswer' || fault === 'lostRequest' ? 1 : 0;
		this.faults.lateEffect += fault === 'lateEffect' ? 1 : 0;
		return fault;
	}
}
