/**
 * In-memory implementation of the platform's `Table` interface that injects faults on demand.
 */
import {err, ok, ResultAsync, type Result} from 'neverthrow';
import {PlatformError} from '../../src/store/errors.ts';
import {
	type RowKey,
	type Table,
	type TableRow,
	type TableWrite,
	type WriteCondition,
} from '../../src/store/types.ts';

/**
 * Fault of the next operation. `lostAnswer` applies the write and reports no answer; `lostRequest` doesn't
 * apply it; `lateEffect` applies it at the next `applyLateWrites`.
 */
export type TableFault = 'none' | 'unreachable' | 'lostAnswer' | 'lostRequest' | 'lateEffect';

export class MemoryTable implements Table {
	/**
	 * @example
	 * const table = MemoryTable.create(() => 'none');
	 */
	static create(
		pickFault: (operation: 'read' | 'write') => TableFault = () => 'none',
	): MemoryTable {
		return new MemoryTable(pickFault);
	}

	readonly #rows = new Map<string, TableRow>();
	readonly #lateWrites: Array<readonly TableWrite[]> = [];
	#reads = 0;
	#writes = 0;

	private constructor(public pickFault: (operation: 'read' | 'write') => TableFault) {}

	get operations(): {readonly reads: number; readonly writes: number} {
		return {reads: this.#reads, writes: this.#writes};
	}

	/** Reads a row without faults and without counting the read, for test oracles. */
	findRow(key: RowKey): TableRow | undefined {
		return this.#rows.get(formatKey(key));
	}

	get(key: RowKey): ResultAsync<TableRow | undefined, PlatformError> {
		return this.#read('GetItem', key.sort, () => this.#rows.get(formatKey(key)));
	}

	query(partition: string, prefix: string): ResultAsync<readonly TableRow[], PlatformError> {
		return this.#read('Query', prefix, () => {
			const rows: TableRow[] = [];
			for (const row of this.#rows.values()) {
				if (row.partition === partition && row.sort.startsWith(prefix)) {
					rows.push(row);
				}
			}

			return rows.toSorted((a, b) => (a.sort < b.sort ? -1 : 1));
		});
	}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		return this.transact([write]);
	}

	transact(writes: readonly TableWrite[]): ResultAsync<void, PlatformError> {
		this.#writes += writes.length;
		return new ResultAsync(Promise.resolve(this.#transactWithFault(writes)));
	}

	/** Applies the delayed writes; returns how many transactions met their conditions. */
	applyLateWrites(): number {
		let appliedCount = 0;
		for (const writes of this.#lateWrites.splice(0)) {
			appliedCount += this.#apply(writes) ? 1 : 0;
		}

		return appliedCount;
	}

	#read<T>(operation: string, key: string, read: () => T): ResultAsync<T, PlatformError> {
		this.#reads++;
		const fault = this.pickFault('read');
		const result: Result<T, PlatformError> =
			fault === 'none'
				? ok(read())
				: err(PlatformError.create('unreachable', operation, key, fault));
		return new ResultAsync(Promise.resolve(result));
	}

	#transactWithFault(writes: readonly TableWrite[]): Result<void, PlatformError> {
		const key = writes[0]?.kind === 'put' ? writes[0].row.sort : 'delete';
		const fault = this.pickFault('write');
		switch (fault) {
			case 'none': {
				return this.#apply(writes)
					? ok()
					: err(PlatformError.create('conditionFailed', 'Transact', key, 'condition'));
			}

			case 'unreachable': {
				return err(PlatformError.create('unreachable', 'Transact', key, fault));
			}

			case 'lostAnswer': {
				this.#apply(writes);
				return err(PlatformError.create('lostAnswer', 'Transact', key, fault));
			}

			case 'lostRequest': {
				return err(PlatformError.create('lostAnswer', 'Transact', key, fault));
			}

			case 'lateEffect': {
				this.#lateWrites.push(writes);
				return err(PlatformError.create('lostAnswer', 'Transact', key, fault));
			}
		}
	}

	#apply(writes: readonly TableWrite[]): boolean {
		for (const write of writes) {
			const key = write.kind === 'put' ? write.row : write.key;
			if (!isMet(write.condition, this.#rows.get(formatKey(key)))) {
				return false;
			}
		}

		for (const write of writes) {
			if (write.kind === 'put') {
				this.#rows.set(formatKey(write.row), write.row);
			} else {
				this.#rows.delete(formatKey(write.key));
			}
		}

		return true;
	}
}

function formatKey(key: RowKey): string {
	return `${key.partition}\n${key.sort}`;
}

function isMet(condition: WriteCondition, row: TableRow | undefined): boolean {
	switch (condition.kind) {
		case 'none': {
			return true;
		}

		case 'absent': {
			return row === undefined;
		}

		case 'revision': {
			return row?.revision === condition.revision;
		}
	}
}
