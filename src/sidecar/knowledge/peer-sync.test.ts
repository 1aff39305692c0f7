/** Pattern: a peer that leaves while the store is silent, and comes back knowing nobody. */
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {Logger} from '../../reporting/logger.ts';
import {testMember} from '../guard/fixtures.ts';
import {type Member} from '../types.ts';
import {Directory} from './directory.ts';
import {distances, MemberView} from './member-view.ts';
import {type PeerState} from './peer-state.ts';
import {PeerSync} from './peer-sync.ts';

const ready: Member = {...testMember, instance: 'peer', state: 'ready', epoch: 1};
const leaving: Member = {...ready, state: 'leaving', epoch: 2};
const back: Member = {...ready, epoch: 3};

/** A sync whose only peer answers questions as told. */
function createSync(answer: () => string | undefined) {
	let asked = 0;
	const pool = {
		open() {
			throw new Error('no request is sent here');
		},
		resume() {
			throw new Error('no request is sent here');
		},
		async sync() {
			asked++;
			return answer();
		},
		closeIdleBefore() {
			throw new Error('no connection is closed here');
		},
	};
	const directory = Directory.create(member =>
		MemberView.create(member, {kind: 'link', pool}, distances.dataCentre),
	);
	directory.apply(ready);
	const sync = PeerSync.create({
		directory,
		logger: Logger.create('test', 'error'),
		readConfig: () => undefined,
		isStoreLost: () => false,
		readOwnMember: () => undefined,
		handleConfig() {
			throw new Error('no configuration is handed over here');
		},
		handleMember(member) {
			directory.apply(member);
		},
	});
	const readState = () => directory.findMember('peer')?.member.state;
	return {sync, readState, countAsked: () => asked};
}

function tell(sync: PeerSync, own: Member): void {
	sync.answer(JSON.stringify({wantsMembers: false, state: {version: -1, own}}));
}

async function waitUntil(isDone: () => boolean): Promise<void> {
	for (let tries = 0; tries < 200 && !isDone(); tries++) {
		await wait(25);
	}
}

test('a peer that left by its own word is asked until it is back', async t => {
	const state: PeerState = {version: -1, own: back};
	const {sync, readState, countAsked} = createSync(() =>
		countAsked() < 2 ? undefined : JSON.stringify(state),
	);
	tell(sync, leaving);
	t.is(readState(), 'leaving');
	sync.start();
	await waitUntil(() => readState() === 'ready');
	t.is(readState(), 'ready');
	t.is(countAsked(), 2);
	sync.stop();
});

test('an answer that is no state changes nothing, and the peer is asked again', async t => {
	const answers = ['not JSON', '{"version":"1"}', JSON.stringify({version: -1, members: [{}]})];
	const {sync, readState, countAsked} = createSync(() => answers[countAsked() - 1]);
	tell(sync, leaving);
	sync.start();
	await waitUntil(() => countAsked() > answers.length);
	t.true(countAsked() > answers.length);
	t.is(readState(), 'leaving');
	sync.stop();
});

test('a question that is none changes nothing', t => {
	const {sync, readState} = createSync(() => undefined);
	const own = {...leaving, epoch: 'late'};
	for (const text of ['', '{}', JSON.stringify({wantsMembers: false, state: {version: 1, own}})]) {
		t.throws(() => sync.answer(text), {instanceOf: TypeError});
	}

	t.is(readState(), 'ready');
});
