/**
 * The table of the world: behind gates, with faults on command.
 */
import {errAsync, okAsync, ResultAsync, type Result} from 'neverthrow';
import {PlatformError, type PlatformErrorKind} from '../../../src/store/errors.ts';
import {type RowKey, type Table, type TableRow, type TableWrite} from '../../../src/store/types.ts';
import {network} from './types.ts';
import {type World} from './world.ts';

/** One daemon's view of the table. */
export class WorldTable implements Table {
	/**
	 * @example
	 * const table = WorldTable.create(world, 'a.0');
	 */
	static create(world: World, owner: string): WorldTable {
		return new WorldTable(world, owner);
	}

	private constructor(
		private readonly world: World,
		private readonly owner: string,
	) {}

	get(key: RowKey): ResultAsync<TableRow | undefined, PlatformError> {
		return this.exchange(() => okAsync(this.world.rows.get(key.partition)));
	}

	write(write: TableWrite): ResultAsync<void, PlatformError> {
		return this.exchange(() => this.world.applyWrite(write), true);
	}

	transact(): ResultAsync<void, PlatformError> {
		throw new Error('not used by once calls');
	}

	query(): ResultAsync<readonly TableRow[], PlatformError> {
		throw new Error('not used by once calls');
	}

	private exchange<Value>(
		run: () => ResultAsync<Value, PlatformError>,
		isWrite = false,
	): ResultAsync<Value, PlatformError> {
		return new ResultAsync(this.pass(run, isWrite));
	}

	private async pass<Value>(
		run: () => ResultAsync<Value, PlatformError>,
		isWrite: boolean,
	): Promise<Result<Value, PlatformError>> {
		const {fault} = this.world;
		if (fault === 'unreachable') {
			return this.fail('unreachable');
		}

		if (fault === 'late' && isWrite) {
			this.world.lateEffects.push(() => {
				void run();
			});
			await this.world.wait(this.owner);
			return this.fail('lostAnswer');
		}

		await this.world.wait(network);
		const result = fault === 'fail' ? undefined : await run();
		await this.world.wait(this.owner);
		return result === undefined || fault === 'lose' ? this.fail('lostAnswer') : result;
	}

	private async fail<Value>(kind: PlatformErrorKind): Promise<Result<Value, PlatformError>> {
		return errAsync<Value, PlatformError>(PlatformError.create(kind, 'test', 'row', 'injected'));
	}
}
