import test from 'ava';
import {unlimitedPace} from '../link/fixtures.ts';
import {type Distance, distances, MemberView} from '../discovery/member-view.ts';
import {type Member} from '../types.ts';
import {groupByDistance, pickMember} from './picker.ts';

const nowMs = 1000;

/** Creates a view of a member with a fresh load report. */
function createView(instance: string, distance: Distance, running: number): MemberView {
	const member: Member = {
		instance,
		link: {host: '10.0.0.1', port: 1},
		dataCentre: 'a',
		region: 'r',
		service: 's',
		serverId: instance,
		slots: 20,
		state: 'ready',
		epoch: 1,
	};
	const pool = {
		open() {
			throw new Error(`unexpected call of the link pool of ${instance}`);
		},
		resume() {
			throw new Error(`unexpected call of the link pool of ${instance}`);
		},
		sync: async () => undefined,
		closeIdleBefore() {
			throw new Error(`unexpected call of the link pool of ${instance}`);
		},
	};
	const view = MemberView.create(member, {kind: 'link', pool}, distance);
	view.recordLoad({running, waiting: 0, limit: 20, pace: unlimitedPace}, nowMs);
	return view;
}

function pick(views: MemberView[], tried: string[] = []): string | undefined {
	const input = {tried: new Set(tried), nowMs, boundMs: 1000, random: () => 0};
	return pickMember(groupByDistance(views), input)?.member.instance;
}

test('a near server with free slots is preferred to an idle one elsewhere', t => {
	const views = [createView('near', distances.dataCentre, 10), createView('far', distances.far, 0)];
	t.is(pick([...views, createView('region', distances.region, 0)]), 'near');
});

test('requests go to another data centre of the region when the near server is busy', t => {
	const views = [createView('near', distances.dataCentre, 15), createView('far', distances.far, 0)];
	t.is(pick([...views, createView('region', distances.region, 4)]), 'region');
});

test('requests go to the other region only when they would queue in their own', t => {
	const far = createView('far', distances.far, 4);
	t.is(pick([createView('near', distances.dataCentre, 19), far]), 'near');
	t.is(pick([createView('near', distances.dataCentre, 24), far]), 'far');
});

test('servers that refused the request or failed recently are skipped', t => {
	const near = createView('near', distances.dataCentre, 0);
	const other = createView('other', distances.dataCentre, 10);
	t.is(pick([near, other], ['near']), 'other');
	near.recordFailure(nowMs);
	t.is(pick([near, other]), 'other');
	t.is(pick([near]), undefined);
});

/** A fleet of one service as one entry in its first data centre sees it: half of the others are far. */
function createFleet(size: number, dataCentres: number): MemberView[] {
	return Array.from({length: size}, (_value, index) => {
		const dataCentre = index % dataCentres;
		const elsewhere = dataCentre % 2 === 0 ? distances.region : distances.far;
		return createView(`s-${index}`, dataCentre === 0 ? distances.dataCentre : elsewhere, 5);
	});
}

for (const [size, dataCentres] of [
	[17, 4],
	[200, 8],
	[1400, 8],
] as const) {
	test(`among ${size} servers, requests stay in the data centre that has room, spread over its servers`, t => {
		const members = groupByDistance(createFleet(size, dataCentres));
		const counts = new Map<string, number>();
		let seed = 1;
		const random = () => {
			seed = (seed * 48_271) % 2_147_483_647;
			return seed / 2_147_483_647;
		};

		const requests = members[distances.dataCentre].length * 100;
		for (let index = 0; index < requests; index++) {
			const view = pickMember(members, {tried: new Set(), nowMs, boundMs: 1000, random})!;
			t.is(view.distance, distances.dataCentre);
			counts.set(view.member.instance, (counts.get(view.member.instance) ?? 0) + 1);
		}

		t.is(counts.size, members[distances.dataCentre].length);
		t.true(Math.max(...counts.values()) <= 150);
	});
}

test('a busy member whose report is old is avoided at first and tried again later', t => {
	const busy = createView('busy', distances.dataCentre, 18);
	const other = createView('other', distances.dataCentre, 6);
	const laterMs = nowMs + 3000;
	const pickAt = (timeMs: number) =>
		pickMember(groupByDistance([busy, other]), {
			tried: new Set(),
			nowMs: timeMs,
			boundMs: 1000,
			random: () => 0,
		})?.member.instance;
	other.recordLoad({running: 3, waiting: 0, limit: 20, pace: unlimitedPace}, laterMs);
	t.is(pickAt(laterMs), 'other');
	other.recordLoad({running: 3, waiting: 0, limit: 20, pace: unlimitedPace}, nowMs + 20_000);
	t.is(pickAt(nowMs + 20_000), 'busy');
});
