/**
 * Table with retries and a circuit around any other table.
 *
 * A conditional put whose answer was lost is settled by reading the row back.
 */
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import {type PlatformError} from './errors.ts';
import {
	canRetryRead,
	canRetryWrite,
	defaultResilienceOptions,
	Resilience,
	type ResilienceOptions,
} from './resilience.ts';
import {
	type RowKey,
	type Table,
	type TableRow,
	type TableWrite,
	type WriteCondition,
} from './types.ts';

type ConditionalPut = {
	readonly kind: 'put';
	readonly row: TableRow;
	readonly condition: Exclude<WriteCondition, {kind: 'none'}>;
};

/** What a row that was read back says about a write whose answer was lost. */
type Settlement = 'written' | 'notYet' | 'undecided';

/** Tells whether a write can be settled by reading its row. */
function isConditionalPut(write: TableWrite): write is ConditionalPut {
	return write.kind === 'put' && write.condition.kind !== 'none';
}

/** Tells whether a condition holds for the row that is there. */
function isConditionMet(
	condition: ConditionalPut['condition'],
	row: TableRow | undefined,
): boolean {
	switch (condition.kind) {
		case 'absent': {
			return row === undefined;
		}

		case 'revision': {
			return row?.revision === condition.revision;
		}
	}
}

/** Compares a row that was read back with the one that was to be written. */
function compareRow(put: ConditionalPut, found: TableRow | undefined): Settlement {
	if (found?.revision === put.row.revision && found.body === put.row.body) {
		return 'written';
	}

	return isConditionMet(put.condition, found) ? 'notYet' : 'undecided';
}

/** Wraps a table. */
export class ResilientTable implements Table {
	/**
	 * @example
	 * const table = ResilientTable.create(DynamoTable.create(settings));
	 */
	static create(
		inner: Table,
		options: ResilienceOptions = defaultResilienceOptions,
	): ResilientTable {
		return new ResilientTable(inner, Resilience.create('table', options));
	}

	private constructor(
		private readonly inner: Table,
		/** Circuit state and usage counts. */
		readonly resilience: Resilience,
	) {}

	get(key: RowKey): ResultAsync<TableRow | undefined, PlatformError> {
		return this.read(() => this.inner.get(key));
	}

	query(partition: string, prefix: string): ResultAsync<readonly TableRow[], PlatformError> {
		return this.read(() => this.inner.query(partition, prefix));
	}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		const result = isConditionalPut(write)
			? this.writeAndSettle(write)
			: this.resilience.retry('write', () => this.inner.write(write), canRetryWrite);
		return new ResultAsync(result);
	}

	transact(writes: readonly TableWrite[]): ResultAsync<void, PlatformError> {
		const send = () => this.inner.transact(writes);
		return new ResultAsync(this.resilience.retry('write', send, canRetryWrite));
	}

	private read<Value>(
		send: () => ResultAsync<Value, PlatformError>,
	): ResultAsync<Value, PlatformError> {
		return new ResultAsync(this.resilience.retry('read', send, canRetryRead));
	}

	private async writeAndSettle(put: ConditionalPut): Promise<Result<void, PlatformError>> {
		let lost: PlatformError | undefined;
		for (let attempt = 1; ; attempt++) {
			const result = await this.resilience.send('write', () => this.inner.write(put));
			if (result.isOk()) {
				return result;
			}

			lost ??= result.error.kind === 'lostAnswer' ? result.error : undefined;
			if (lost === undefined && !canRetryWrite(result.error)) {
				return result;
			}

			const settlement = lost === undefined ? 'notYet' : await this.settle(put);
			if (settlement === 'written') {
				return ok(undefined);
			}

			if (settlement === 'undecided' || attempt >= this.resilience.readMaxAttempts()) {
				return err(lost ?? result.error);
			}

			await this.resilience.waitBeforeRetry(attempt);
		}
	}

	/** Reads back the row of a write whose answer was lost. */
	private async settle(put: ConditionalPut): Promise<Settlement> {
		const found = await this.get(put.row);
		return found.isOk() ? compareRow(put, found.value) : 'undecided';
	}
}
