/** LIMIT: work that one server may not take goes to others before anybody is refused. */
import test from 'ava';
import {Directory} from '../discovery/directory.ts';
import {distances, MemberView} from '../discovery/member-view.ts';
import {testMember} from '../guard/fixtures.ts';
import {unlimitedPace} from '../link/fixtures.ts';
import {type RefusalReason} from '../link/messages.ts';
import {type Route} from '../types.ts';
import {AttemptHistory} from './attempt-history.ts';
import {type EntryContext} from './entry-context.ts';

const route: Route = {
	name: 'r',
	host: 'shop.example',
	prefix: '/r/',
	weightedServices: [{service: 'shop', weight: 1}],
	callKind: 'repeatable',
	timeoutMs: 2000,
	objectiveMs: 1000,
	maxAttempts: 2,
	priority: 1,
};
const load = {running: 0, waiting: 0, limit: 10, pace: unlimitedPace};

const limitedLoad = {...load, pace: {limit: {kind: 'paced', perSecond: 10}, fill: 0}} as const;

/** Creates the history of a request to near servers with limits and to far ones without. */
function createHistory(nearCount: number, farCount = 0): AttemptHistory {
	const directory = Directory.create(member => {
		const isNear = member.dataCentre === 'near';
		const readLoad = () => (isNear ? limitedLoad : load);
		const distance = isNear ? distances.dataCentre : distances.far;
		return MemberView.create(member, {kind: 'local', readLoad}, distance);
	});
	for (let index = 0; index < nearCount + farCount; index++) {
		const dataCentre = index < nearCount ? 'near' : 'far';
		const instance = `${dataCentre}-${index}`;
		directory.apply({...testMember, instance, dataCentre, serverId: `i-${index}`});
	}

	const ctx = {directory, random: () => 0.5} as unknown as EntryContext;
	return AttemptHistory.create(ctx, route, 'shop');
}

/** Lets each guard refuse, until no further one may be tried; lists the instances and whether the request was patient. */
function listTries(
	history: AttemptHistory,
	chooseReason: (isPatient: boolean) => RefusalReason,
): Array<{readonly instance: string; readonly isPatient: boolean}> {
	const tries = [];
	for (let view = history.pickNext(0); view !== undefined; view = history.pickNext(0)) {
		const {isPatient} = history;
		tries.push({instance: view.member.instance, isPatient});
		history.recordAttempt(view);
		if (!history.recordRefusal(chooseReason(isPatient))) {
			break;
		}
	}

	return tries;
}

test('a request that servers with limits refuse is sent to all others before it waits at one of them', t => {
	const tries = listTries(createHistory(3), isPatient => (isPatient ? 'full' : 'limited'));
	const first = tries.filter(each => !each.isPatient);
	t.is(new Set(first.map(each => each.instance)).size, 3);
	t.true(tries.slice(3).every(each => each.isPatient));
	t.true(tries.length > 3);
});

test('a request waits at the fifth server of many with limits', t => {
	const tries = listTries(createHistory(40), isPatient => (isPatient ? 'full' : 'limited'));
	t.is(tries.filter(each => !each.isPatient).length, 4);
	t.is(tries.filter(each => each.isPatient).length, 3);
});

test('a request that a server with a limit refuses goes to one without next, however far', t => {
	const history = createHistory(5, 1);
	const tries = listTries(history, () => 'limited').map(each => each.instance);
	t.true(tries[0]!.startsWith('near'));
	t.is(tries[1], 'far-5');
});

test('a request that servers without limits refuse as full waits at one with a limit', t => {
	let count = 0;
	const tries = listTries(createHistory(5, 5), () => (count++ === 0 ? 'limited' : 'full'));
	t.deepEqual(
		tries.map(({instance, isPatient}) => [instance.split('-')[0], isPatient]),
		[
			['near', false],
			['far', false],
			['far', false],
			['far', false],
			['near', true],
		],
	);
});

test('a request that other servers refuse as full does not wait at them', t => {
	const tries = listTries(createHistory(2), () => 'full');
	t.deepEqual(
		tries.map(each => each.isPatient),
		[false, false],
	);
});
