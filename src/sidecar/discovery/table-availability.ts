/** Whether the calls for one table succeed; logs each change. */
import {type Logger} from '../../reporting/logger.ts';
import {formatFailure, type StoreFailure, type TableName} from '../shared-table.ts';

export class TableAvailability {
	/**
	 * @example
	 * const availability = TableAvailability.create('members', logger);
	 * availability.recordFailure(failure);
	 */
	static create(table: TableName, logger: Logger): TableAvailability {
		return new TableAvailability(table, logger);
	}

	#isUnavailable = false;

	private constructor(
		private readonly table: TableName,
		private readonly logger: Logger,
	) {}

	/** Whether the last call failed. */
	get isUnavailable(): boolean {
		return this.#isUnavailable;
	}

	recordSuccess(): void {
		if (this.#isUnavailable) {
			this.#isUnavailable = false;
			this.logger.info({table: this.table}, 'store is available again');
		}
	}

	recordFailure(failure: StoreFailure): void {
		if (!this.#isUnavailable) {
			this.#isUnavailable = true;
			const reason = formatFailure(failure);
			this.logger.warn({table: this.table, reason}, 'store is unavailable');
		}
	}

	/** Forgets a failure, while no calls are needed. */
	reset(): void {
		this.#isUnavailable = false;
	}
}
