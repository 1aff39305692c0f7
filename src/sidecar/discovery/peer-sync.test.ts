/**
 * Guards against a peer that stays unused after its restart: it left while the store was unavailable, and
 * returns without knowing any peer to which it could announce itself.
 */
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {Logger} from '../../reporting/logger.ts';
import {MessageLog} from '../reporting/message-log.ts';
import {testMember} from '../guard/fixtures.ts';
import {type Member} from '../types.ts';
import {Directory} from './directory.ts';
import {distances, MemberView} from './member-view.ts';
import {type PeerState} from './peer-state.ts';
import {PeerSync} from './peer-sync.ts';

const ready: Member = {...testMember, instance: 'peer', state: 'ready', epoch: 1};
const leaving: Member = {...ready, state: 'leaving', epoch: 2};
const readyAgain: Member = {...ready, epoch: 3};

/** Creates a sync with one peer that answers requests with the results of `answer`. */
function createSync(answer: () => string | undefined) {
	let requests = 0;
	const pool = {
		open() {
			throw new Error('no request is sent here');
		},
		resume() {
			throw new Error('no request is sent here');
		},
		async sync() {
			requests++;
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
		instance: 'own',
		directory,
		logger: Logger.create('test', 'error'),
		messageLog: MessageLog.create(Logger.create('test', 'error')),
		readConfig: () => undefined,
		isStoreUnavailable: () => false,
		readOwnMember: () => undefined,
		handleConfig() {
			throw new Error('no configuration is handed over here');
		},
		handleMember(member) {
			directory.apply(member);
		},
	});
	const readState = () => directory.findMember('peer')?.member.state;
	return {sync, readState, countRequests: () => requests};
}

function sendAnnouncement(sync: PeerSync, own: Member): void {
	sync.answerRequest(
		JSON.stringify({wantsMembers: false, from: 'peer', state: {version: -1, own}}),
	);
}

async function waitUntil(isDone: () => boolean): Promise<void> {
	for (let tries = 0; tries < 200 && !isDone(); tries++) {
		await wait(25);
	}
}

test('a peer that announced directly that it is leaving is polled until it is ready', async t => {
	const state: PeerState = {version: -1, own: readyAgain};
	const {sync, readState, countRequests} = createSync(() =>
		countRequests() < 2 ? undefined : JSON.stringify(state),
	);
	sendAnnouncement(sync, leaving);
	t.is(readState(), 'leaving');
	sync.start();
	await waitUntil(() => readState() === 'ready');
	t.is(readState(), 'ready');
	t.is(countRequests(), 2);
	sync.stop();
});

test('an invalid response changes nothing, and the peer is polled again', async t => {
	const answers = ['not JSON', '{"version":"1"}', JSON.stringify({version: -1, members: [{}]})];
	const {sync, readState, countRequests} = createSync(() => answers[countRequests() - 1]);
	sendAnnouncement(sync, leaving);
	sync.start();
	await waitUntil(() => countRequests() > answers.length);
	t.true(countRequests() > answers.length);
	t.is(readState(), 'leaving');
	sync.stop();
});

test('an invalid request changes nothing', t => {
	const {sync, readState} = createSync(() => undefined);
	const own = {...leaving, epoch: 'late'};
	for (const text of [
		'',
		'{}',
		JSON.stringify({wantsMembers: false, from: 'peer', state: {version: 1, own}}),
	]) {
		t.throws(() => sync.answerRequest(text), {instanceOf: TypeError});
	}

	t.is(readState(), 'ready');
});
