/**
 * The table of the simulation: operations wait for the message scheduler and fail on command.
 */
import {errAsync, okAsync, ResultAsync, type Result} from 'neverthrow';
import {PlatformError, type PlatformErrorKind} from '../../../src/store/errors.ts';
import {type RowKey, type Table, type TableRow, type TableWrite} from '../../../src/store/types.ts';
import {networkOwner} from './types.ts';
import {type OnceSimulation} from './once-simulation.ts';

/** The table as one daemon reaches it. */
export class SimulatedTable implements Table {
	/**
	 * @example
	 * const table = SimulatedTable.create(simulation, 'a.0');
	 */
	static create(simulation: OnceSimulation, owner: string): SimulatedTable {
		return new SimulatedTable(simulation, owner);
	}

	private constructor(
		private readonly simulation: OnceSimulation,
		private readonly owner: string,
	) {}

	get(key: RowKey): ResultAsync<TableRow | undefined, PlatformError> {
		return this.exchange(() => okAsync(this.simulation.rows.get(key.partition)));
	}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		return this.exchange(() => this.simulation.applyWrite(write), true);
	}

	transact(): ResultAsync<void, PlatformError> {
		throw new Error('SimulatedTable.transact is not implemented: once calls do not use it');
	}

	query(): ResultAsync<readonly TableRow[], PlatformError> {
		throw new Error('SimulatedTable.query is not implemented: once calls do not use it');
	}

	private exchange<Value>(
		run: () => ResultAsync<Value, PlatformError>,
		isWrite = false,
	): ResultAsync<Value, PlatformError> {
		return new ResultAsync(this.exchangeWithFault(run, isWrite));
	}

	private async exchangeWithFault<Value>(
		run: () => ResultAsync<Value, PlatformError>,
		isWrite: boolean,
	): Promise<Result<Value, PlatformError>> {
		const {tableFault: fault} = this.simulation;
		if (fault === 'unreachable') {
			return this.createFailure('unreachable');
		}

		if (fault === 'late' && isWrite) {
			this.simulation.lateEffects.push(() => {
				void run();
			});
			await this.simulation.wait(this.owner);
			return this.createFailure('lostAnswer');
		}

		await this.simulation.wait(networkOwner);
		const result = fault === 'fail' ? undefined : await run();
		await this.simulation.wait(this.owner);
		return result === undefined || fault === 'lose' ? this.createFailure('lostAnswer') : result;
	}

	private async createFailure<Value>(
		kind: PlatformErrorKind,
	): Promise<Result<Value, PlatformError>> {
		return errAsync<Value, PlatformError>(PlatformError.create(kind, 'test', 'row', 'injected'));
	}
}
