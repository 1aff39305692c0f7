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
	#succeededAtMs = Number.NEGATIVE_INFINITY;

	private constructor(
		private readonly table: TableName,
		private readonly logger: Logger,
	) {}

	/** Whether the last call failed. */
	get isUnavailable(): boolean {
		return this.#isUnavailable;
	}

	/** Whether the last call succeeded, no longer than `limitMs` ago. */
	isConfirmed(nowMs: number, limitMs: number): boolean {
		return !this.#isUnavailable && nowMs - this.#succeededAtMs <= limitMs;
	}

	recordSuccess(nowMs: number): void {
		this.#succeededAtMs = nowMs;
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
