import test from 'ava';
import {type Distance, distances, MemberView} from '../discovery/member-view.ts';
import {type Member} from '../types.ts';
import {pickMember} from './picker.ts';

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
	view.recordLoad({running, waiting: 0, limit: 20}, nowMs);
	return view;
}

function pick(views: MemberView[], tried: string[] = []): string | undefined {
	return pickMember(views, new Set(tried), nowMs, () => 0)?.member.instance;
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
