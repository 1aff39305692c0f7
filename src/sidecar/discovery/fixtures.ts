/** Test fixtures: a store in memory, and the store syncs of one data centre. */
import {setTimeout as wait} from 'node:timers/promises';
import {type ExecutionContext} from 'ava';
import {err, ok, type Result} from 'neverthrow';
import {Logger} from '../../reporting/logger.ts';
import {MessageLog} from '../reporting/message-log.ts';
import {testMember} from '../guard/fixtures.ts';
import {type Row, type RowSet, type SharedTable, type StoreFailure} from '../shared-table.ts';
import {type Member} from '../types.ts';
import {Directory} from './directory.ts';
import {FencedTable} from './fenced-table.ts';
import {encodeMember} from './member-codec.ts';
import {createMemberHandler} from './member-handler.ts';
import {distances, MemberView} from './member-view.ts';
import {StoreSync} from './store-sync.ts';

/** Time beyond its wait after which a call without an answer fails. */
const callTimeoutMs = 1500;

export type StoreCopy = {readonly rows: ReadonlyMap<string, Row>; readonly version: number};

/** A store in memory: one counter of versions for all tables, and waits that end at a change. */
export class MemoryStore {
	static create(): MemoryStore {
		return new MemoryStore();
	}

	calls = 0;
	/** Calls that read a whole table. */
	fullReads = 0;
	#era = 1;
	#version = 0;
	#rows = new Map<string, Row>();
	readonly #wakers = new Set<() => void>();

	write(table: string, key: string, value: string): void {
		this.#version++;
		this.#rows.set(`${table}/${key}`, {key, value, version: this.#version});
		for (const wake of this.#wakers) {
			wake();
		}
	}

	/** Copies the rows and the counter. */
	createCopy(): StoreCopy {
		return {rows: new Map(this.#rows), version: this.#version};
	}

	/** Returns to a copy: later writes are lost, and their versions are given out again. */
	restoreCopy(copy: StoreCopy): void {
		this.#rows = new Map(copy.rows);
		this.#version = copy.version;
		this.#era++;
	}

	readRow(table: string, key: string): string | undefined {
		return this.#rows.get(`${table}/${key}`)?.value;
	}

	/**
	 * The table as one sidecar reaches it.
	 *
	 * @param isSilent - whether calls of this sidecar, also those that wait, get no answer
	 */
	createTable(isCut: () => boolean, isSilent = () => false): SharedTable {
		const read = (table: string, after: number): Result<RowSet, StoreFailure> => {
			if (isCut()) {
				return err({kind: 'unavailable', reason: 'cut off', mayHaveRun: false});
			}

			const rows = [...this.#rows]
				.filter(([key, row]) => key.startsWith(`${table}/`) && row.version > after)
				.map(([, row]) => row);
			return ok({rows, version: this.#version, era: this.#era});
		};

		return {
			readRows: async table => {
				this.calls++;
				this.fullReads++;
				return read(table, 0);
			},
			readRow: async (table, key) => {
				this.calls++;
				return read(table, 0).map(result => ({
					...result,
					rows: result.rows.filter(row => row.key === key),
				}));
			},
			readChanges: async (table, after, waitMs, signal) => {
				this.calls++;
				const endMs = performance.now() + waitMs;
				for (;;) {
					if (isSilent()) {
						await this.#waitForAbort(endMs + callTimeoutMs - performance.now(), signal);
						return err({kind: 'unavailable', reason: 'no answer', mayHaveRun: false});
					}

					const result = after > this.#version ? this.#createCompacted() : read(table, after);
					if (result.isErr() || result.value.rows.length > 0 || performance.now() >= endMs) {
						return result;
					}

					if (signal.aborted) {
						return err({kind: 'unavailable', reason: 'aborted', mayHaveRun: false});
					}

					await this.#waitForWrite(endMs - performance.now(), signal);
				}
			},
			writeRow: async () => ok({version: 1, era: 1}),
			close() {
				// Holds no connections.
			},
		};
	}

	async #waitForAbort(timeoutMs: number, signal: AbortSignal): Promise<void> {
		return new Promise(resolve => {
			const timer = setTimeout(resolve, timeoutMs);
			signal.addEventListener('abort', () => {
				clearTimeout(timer);
				resolve();
			});
		});
	}

	#createCompacted(): Result<RowSet, StoreFailure> {
		return err({kind: 'compacted', era: this.#era});
	}

	async #waitForWrite(timeoutMs: number, signal: AbortSignal): Promise<void> {
		return new Promise(resolve => {
			const finish = () => {
				this.#wakers.delete(finish);
				clearTimeout(timer);
				resolve();
			};

			const timer = setTimeout(finish, timeoutMs);
			this.#wakers.add(finish);
			signal.addEventListener('abort', finish, {once: true});
		});
	}
}

export type TestSidecar = {
	readonly instance: string;
	readonly sync: StoreSync;
	config: string;
	/** The row of the instance as last read, and the era of that read. */
	ownRow: {readonly value: string | undefined; readonly era: number};
	readonly directory: Directory;
	isCut: boolean;
	/** Whether its calls to the store get no answer. */
	isSilent: boolean;
	isStopped: boolean;
};

/** Starts the store syncs of one data centre, which relay to each other directly. */
export function startFleet(store: MemoryStore, fleetSize: number): TestSidecar[] {
	const fleet: TestSidecar[] = [];
	const logger = Logger.create('test', 'error');
	for (let index = 0; index < fleetSize; index++) {
		const member: Member = {...testMember, instance: `sidecar-${index}`, dataCentre: 'a'};
		store.write('members', member.instance, encodeMember(member));
	}

	const findRunning = (instance: string) =>
		fleet.find(each => each.instance === instance && !each.isStopped);
	for (let index = 0; index < fleetSize; index++) {
		const instance = `sidecar-${index}`;
		const directory = Directory.create(member =>
			MemberView.create(
				member,
				{
					kind: 'link',
					pool: {
						open() {
							throw new Error('no request is sent here');
						},
						resume() {
							throw new Error('no request is sent here');
						},
						sync: async text => findRunning(member.instance)?.sync.answerRelay(text),
						closeIdleBefore() {
							throw new Error('no connection is closed here');
						},
					},
				},
				distances.dataCentre,
			),
		);
		const sync: StoreSync = StoreSync.create({
			instance,
			dataCentre: 'a',
			table: FencedTable.create(
				store.createTable(
					() => sidecar.isCut,
					() => sidecar.isSilent,
				),
				logger,
				() => {
					sync.handleRestored();
				},
			),
			configKey: 'config',
			configMs: 2500,
			directory,
			logger,
			messageLog: MessageLog.create(logger),
			handleConfig(source) {
				sidecar.config = source;
			},
			handleOwnRow(row, {era}) {
				sidecar.ownRow = {value: row?.value, era};
			},
			createSummary: () => ({demands: [], costs: [], origins: [], reports: []}),
			applySummary() {
				// Overload is not checked here.
			},
			handleMember: createMemberHandler({
				instance,
				directory,
				logger,
				handleOwnMember() {
					// Not checked here.
				},
				handleUpdated(member) {
					sync.recordMember(member);
				},
			}),
		});
		const sidecar: TestSidecar = {
			instance,
			sync,
			directory,
			config: '',
			ownRow: {value: undefined, era: 0},
			isCut: false,
			isSilent: false,
			isStopped: false,
		};
		fleet.push(sidecar);
		sync.start();
	}

	return fleet;
}

/** Waits until all sidecars have a configuration; returns the time that it took. */
export async function measureSpread(
	fleet: readonly TestSidecar[],
	config: string,
	limitMs: number,
): Promise<number> {
	const startMs = performance.now();
	while (performance.now() - startMs < limitMs) {
		if (fleet.every(each => each.isStopped || each.config === config)) {
			break;
		}

		await wait(10);
	}

	return performance.now() - startMs;
}

/** Time in which a fleet takes a change in calm. */
const settleLimitMs = 4000;

/** Starts a fleet and changes the configuration once, so that all calls that wait for changes begin together. */
export async function startSettledFleet(
	t: ExecutionContext,
	size: number,
): Promise<{store: MemoryStore; fleet: TestSidecar[]}> {
	const store = MemoryStore.create();
	store.write('operator', 'config', 'v1');
	const fleet = startFleet(store, size);
	t.teardown(() => {
		for (const {sync} of fleet) {
			sync.stop();
		}
	});
	await measureSpread(fleet, 'v1', settleLimitMs);
	await wait(2500);
	store.write('operator', 'config', 'v2');
	await measureSpread(fleet, 'v2', settleLimitMs);
	return {store, fleet};
}
