/**
 * Adds retries and a circuit breaker to a table client.
 *
 * When the response to a conditional put is lost, the row is read back to determine whether the put took
 * effect.
 */
import {err, ok, type Result, ResultAsync} from 'neverthrow';
import {type PlatformError} from './errors.ts';
import {
	canRetryRead,
	canRetryWrite,
	defaultRequestExecutorOptions,
	RequestExecutor,
	type RequestExecutorOptions,
} from './request-executor.ts';
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

/**
 * Outcome of a conditional put, as far as it is known. `notVisible`: the row does not show the put and
 * its condition still holds, so it can be sent again.
 */
type WriteOutcome = 'written' | 'notVisible' | 'unknown';

/** Returns whether the outcome of a write can be determined by reading its row back. */
function isConditionalPut(write: TableWrite): write is ConditionalPut {
	return write.kind === 'put' && write.condition.kind !== 'none';
}

/** Returns whether a condition holds for the stored row. */
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

/** Derives the outcome of a put from the row that was read back. */
function resolveWriteOutcome(put: ConditionalPut, storedRow: TableRow | undefined): WriteOutcome {
	if (storedRow?.revision === put.row.revision && storedRow.body === put.row.body) {
		return 'written';
	}

	return isConditionMet(put.condition, storedRow) ? 'notVisible' : 'unknown';
}

/** Table client with retries where they are safe. */
export class ResilientTable implements Table {
	/**
	 * @example
	 * const table = ResilientTable.create(DynamoTable.create(settings));
	 */
	static create(
		inner: Table,
		options: RequestExecutorOptions = defaultRequestExecutorOptions,
	): ResilientTable {
		return new ResilientTable(inner, RequestExecutor.create('table', options));
	}

	private constructor(
		private readonly inner: Table,
		/** Circuit state and request counts. */
		readonly executor: RequestExecutor,
	) {}

	get(key: RowKey): ResultAsync<TableRow | undefined, PlatformError> {
		return this.sendRead(() => this.inner.get(key));
	}

	query(partition: string, prefix: string): ResultAsync<readonly TableRow[], PlatformError> {
		return this.sendRead(() => this.inner.query(partition, prefix));
	}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		const result = isConditionalPut(write)
			? this.putConditionally(write)
			: this.executor.sendWithRetries('write', () => this.inner.write(write), canRetryWrite);
		return new ResultAsync(result);
	}

	transact(writes: readonly TableWrite[]): ResultAsync<void, PlatformError> {
		const send = () => this.inner.transact(writes);
		return new ResultAsync(this.executor.sendWithRetries('write', send, canRetryWrite));
	}

	private sendRead<Value>(
		send: () => ResultAsync<Value, PlatformError>,
	): ResultAsync<Value, PlatformError> {
		return new ResultAsync(this.executor.sendWithRetries('read', send, canRetryRead));
	}

	private async putConditionally(put: ConditionalPut): Promise<Result<void, PlatformError>> {
		let lostResponse: PlatformError | undefined;
		for (let attempt = 1; ; attempt++) {
			const result = await this.executor.send('write', () => this.inner.write(put));
			if (result.isOk()) {
				return result;
			}

			lostResponse ??= result.error.kind === 'lostAnswer' ? result.error : undefined;
			if (lostResponse === undefined && !canRetryWrite(result.error)) {
				return result;
			}

			const outcome = lostResponse === undefined ? 'notVisible' : await this.readBackOutcome(put);
			if (outcome === 'written') {
				return ok(undefined);
			}

			if (outcome === 'unknown' || attempt >= this.executor.readMaxAttempts()) {
				return err(lostResponse ?? result.error);
			}

			await this.executor.waitBeforeRetry(attempt);
		}
	}

	/** Reads the row back to determine the outcome of a put whose response was lost. */
	private async readBackOutcome(put: ConditionalPut): Promise<WriteOutcome> {
		const readBack = await this.get(put.row);
		return readBack.isOk() ? resolveWriteOutcome(put, readBack.value) : 'unknown';
	}
}
