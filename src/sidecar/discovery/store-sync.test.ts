/**
 * Watchers relay the store's changes to their data centre: a change costs calls of the watchers only, reaches
 * everyone at once, and still reaches everyone in time when the watchers have been killed or cut off.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import test from 'ava';
import {Logger} from '../../reporting/logger.ts';
import {testMember} from '../guard/fixtures.ts';
import {type Row, type RowSet, type SharedTable, type StoreFailure} from '../shared-table.ts';
import {type Member} from '../types.ts';
import {Directory} from './directory.ts';
import {encodeMember} from './member-codec.ts';
import {createMemberHandler} from './member-handler.ts';
import {distances, MemberView} from './member-view.ts';
import {StoreSync} from './store-sync.ts';

const configBoundMs = 4000;
const fleetSize = 24;

/** A store in memory: one counter of versions for all tables, and waits that end at a change. */
class MemoryStore {
	static create(): MemoryStore {
		return new MemoryStore();
	}

	calls = 0;
	#version = 0;
	readonly #rows = new Map<string, Row>();
	readonly #wakers = new Set<() => void>();

	write(table: string, key: string, value: string): void {
		this.#version++;
		this.#rows.set(`${table}/${key}`, {key, value, version: this.#version});
		for (const wake of this.#wakers) {
			wake();
		}
	}

	/** The table as one sidecar reaches it. */
	createTable(isCut: () => boolean): SharedTable {
		const read = (table: string, after: number): Result<RowSet, StoreFailure> => {
			if (isCut()) {
				return err({kind: 'unavailable', reason: 'cut off', mayHaveRun: false});
			}

			const rows = [...this.#rows]
				.filter(([key, row]) => key.startsWith(`${table}/`) && row.version > after)
				.map(([, row]) => row);
			return ok({rows, version: this.#version, era: 1});
		};

		return {
			readRows: async table => {
				this.calls++;
				return read(table, 0);
			},
			readChanges: async (table, after, waitMs) => {
				this.calls++;
				const endMs = performance.now() + waitMs;
				for (;;) {
					const result = read(table, after);
					if (result.isErr() || result.value.rows.length > 0 || performance.now() >= endMs) {
						return result;
					}

					await this.#waitForWrite(endMs - performance.now());
				}
			},
			writeRow: async () => ok({version: 1, era: 1}),
			close() {
				// Holds no connections.
			},
		};
	}

	async #waitForWrite(timeoutMs: number): Promise<void> {
		return new Promise(resolve => {
			const finish = () => {
				this.#wakers.delete(finish);
				clearTimeout(timer);
				resolve();
			};

			const timer = setTimeout(finish, timeoutMs);
			this.#wakers.add(finish);
		});
	}
}

type Sidecar = {
	readonly instance: string;
	readonly sync: StoreSync;
	config: string;
	isCut: boolean;
	isStopped: boolean;
};

function startFleet(store: MemoryStore): Sidecar[] {
	const fleet: Sidecar[] = [];
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
			table: store.createTable(() => sidecar.isCut),
			configKey: 'config',
			directory,
			logger,
			handleConfig(source) {
				sidecar.config = source;
			},
			handleOwnRow() {
				// The row of this instance is not checked here.
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
		const sidecar: Sidecar = {instance, sync, config: '', isCut: false, isStopped: false};
		fleet.push(sidecar);
		sync.start();
	}

	return fleet;
}

/** Waits until all sidecars have a configuration; returns the time that it took. */
async function measureSpread(fleet: readonly Sidecar[], config: string): Promise<number> {
	const startMs = performance.now();
	while (performance.now() - startMs < 2 * configBoundMs) {
		if (fleet.every(each => each.isStopped || each.config === config)) {
			break;
		}

		await wait(10);
	}

	return performance.now() - startMs;
}

test('changes reach a data centre through its watchers, also after these were lost', async t => {
	const store = MemoryStore.create();
	store.write('operator', 'config', 'v1');
	const fleet = startFleet(store);
	t.teardown(() => {
		for (const {sync} of fleet) {
			sync.stop();
		}
	});
	await measureSpread(fleet, 'v1');
	await wait(2500);
	store.write('operator', 'config', 'v2');
	await measureSpread(fleet, 'v2');

	// Only the watchers are woken now.
	const callsBefore = store.calls;
	store.write('operator', 'config', 'v3');
	const spreadMs = await measureSpread(fleet, 'v3');
	t.true(spreadMs < 1000, `in force everywhere after ${spreadMs} ms`);
	await wait(1000);
	t.true(store.calls - callsBefore <= 8, `${store.calls - callsBefore} calls for one change`);

	const watchers = fleet.filter(each => each.sync.isWatcher);
	t.is(watchers.length, 2);
	watchers[0]!.isStopped = true;
	watchers[0]!.sync.stop();
	watchers[1]!.isCut = true;
	store.write('operator', 'config', 'v4');
	const takeoverMs = await measureSpread(
		fleet.filter(each => each !== watchers[1]),
		'v4',
	);
	t.true(takeoverMs < configBoundMs, `in force everywhere after ${takeoverMs} ms`);
});
