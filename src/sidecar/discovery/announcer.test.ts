/**
 * Guards against a lost or outdated announcement in the table after the store lost its answer to a write
 * or applied a write late.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import test, {type ExecutionContext} from 'ava';
import {Logger} from '../../reporting/logger.ts';
import {type SharedTable, type StoreFailure, type StorePosition} from '../shared-table.ts';
import {type Member} from '../types.ts';
import {Announcer} from './announcer.ts';
import {decodeMember} from './member-codec.ts';

const logger = Logger.create('test', 'error');
const member: Omit<Member, 'epoch'> = {
	instance: 'one',
	link: {host: '10.0.0.1', port: 1},
	dataCentre: 'a',
	region: 'r',
	service: 's',
	serverId: 'i-1',
	slots: 20,
	state: 'ready',
};

type WriteResult = Result<StorePosition, StoreFailure>;

/** Creates a table with one row; `decide` controls the result of each write. */
function createTable(decide: (applied: () => WriteResult) => WriteResult) {
	const row = {value: undefined as string | undefined, version: 0};
	const table: Pick<SharedTable, 'writeRow'> = {
		async writeRow(_table, _key, value, expectedVersion) {
			return decide(() => {
				if (expectedVersion !== row.version) {
					return err({kind: 'conflict', version: row.version, era: 1});
				}

				row.value = value;
				row.version++;
				return ok({version: row.version, era: 1});
			});
		},
	};
	return {row, table: table as SharedTable};
}

async function waitForWrites(): Promise<void> {
	await wait(1000);
}

const lost: WriteResult = err({kind: 'unavailable', reason: 'lost', mayHaveRun: true});

test('a write whose answer was lost is retried and finds its row written', async t => {
	let writes = 0;
	const {row, table} = createTable(apply => {
		writes++;
		const result = apply();
		return writes === 1 ? lost : result;
	});
	let failures = 0;
	const announcer = Announcer.create('one', table, logger, () => {
		failures++;
	});
	t.teardown(() => {
		announcer.close();
	});
	announcer.recordRow(undefined, {era: 1, version: 0});
	const announced = announcer.announce(member);
	await waitForWrites();
	t.is(decodeMember(row.value!)?.epoch, announced.epoch);
	t.is(failures, 1);
	t.false(announcer.isFailing);
});

/** Creates an announcer and a table that accepts every write. */
function createAnnouncer(t: ExecutionContext) {
	const {row, table} = createTable(apply => apply());
	const announcer = Announcer.create('one', table, logger, () => {
		t.fail('no write fails');
	});
	t.teardown(() => {
		announcer.close();
	});
	return {row, announcer};
}

test('the table ends with the last of several changes', async t => {
	const {row, announcer} = createAnnouncer(t);
	announcer.recordRow(undefined, {era: 1, version: 0});
	announcer.announce(member);
	announcer.announce({...member, state: 'leaving'});
	announcer.announce({...member, state: 'down'});
	await waitForWrites();
	t.is(decodeMember(row.value!)?.state, 'down');
});

test('the epoch is raised above one that a peer has from an earlier process', async t => {
	const {row, announcer} = createAnnouncer(t);
	announcer.recordRow(undefined, {era: 1, version: 0});
	const announced = announcer.announce(member);
	announcer.raiseEpoch(announced.epoch + 5000);
	await waitForWrites();
	t.is(decodeMember(row.value!)?.epoch, announced.epoch + 5001);
});

test('nothing is written before the row of the instance was read', async t => {
	const {row, announcer} = createAnnouncer(t);
	announcer.announce(member);
	await waitForWrites();
	t.is(row.value, undefined);
});

// CONFIG: the announcement stayed lost, since its older row in the restored store has a lower version.
test('an announcement that the store lost is written again, though its older row has a lower version', async t => {
	const {row, announcer} = createAnnouncer(t);
	announcer.recordRow(undefined, {era: 1, version: 0});
	announcer.announce(member);
	await waitForWrites();
	const older = row.value!;
	const announced = announcer.announce({...member, slots: 30});
	await waitForWrites();
	row.value = older;
	row.version = 1;
	announcer.recordRow({key: 'one', value: older, version: 1}, {era: 2, version: 1});
	await waitForWrites();
	t.is(decodeMember(row.value)?.epoch, announced.epoch);
});

test('an answer from before the store was restored does not hide the lost row', async t => {
	const {row, announcer} = createAnnouncer(t);
	announcer.recordRow(undefined, {era: 1, version: 0});
	const announced = announcer.announce(member);
	await waitForWrites();
	const text = row.value!;
	row.value = undefined;
	row.version = 0;
	announcer.recordRow(undefined, {era: 2, version: 0});
	announcer.recordRow({key: 'one', value: text, version: 9}, {era: 1, version: 9});
	await waitForWrites();
	t.is(decodeMember(row.value!)?.epoch, announced.epoch);
});
