import test from 'ava';
import {
	sendUntilServed,
	entryNames,
	request,
	runSequences,
} from '../../bench/fuzz/once/sequences.ts';
import {OnceSimulation} from '../../bench/fuzz/once/once-simulation.ts';

test('a once call runs at most once under any order of faults', async t => {
	const {faults, ends} = await runSequences(20_261_204, 400);
	t.log({faults, ends});
	for (const [kind, count] of Object.entries(faults)) {
		t.true(count > 0, `no fault of kind ${kind} was injected`);
	}

	for (const kind of ['ran', 'repeated', 'notRun', 'inProgress', 'unknown']) {
		t.true((ends[kind] ?? 0) > 0, `no attempt ended as ${kind}`);
	}
});

test('a delayed delete of a claim does not remove the claim of a later attempt', async t => {
	const world = OnceSimulation.create(entryNames);
	world.isShedding = true;
	const shed = await world.call('a', request);
	for (let index = 0; index < 5; index++) {
		await world.step(0);
	}

	world.setTableFault('late');
	await world.step(0);
	t.deepEqual(shed.result, {kind: 'notRun', reason: 'overload'});
	t.is(world.lateEffects.length, 1, 'the delete of the claim is delayed');

	world.setTableFault('ok');
	world.isShedding = false;
	await world.call('b', request);
	let hasNext = true;
	while (hasNext && world.countRuns(request) === 0) {
		hasNext = await world.step(0);
	}

	world.applyLateEffect(0);
	const third = await world.call('c', request);
	await world.heal();
	t.not(third.result?.kind, 'ran');
	t.is(world.countRuns(request), 1);
});

test('the same key with a different body is refused, unless the first request was never sent', async t => {
	const world = OnceSimulation.create(entryNames);
	const other = {...request, fingerprint: 'g'};
	await sendUntilServed(world, request);
	const differing = await world.call('b', other);
	await world.heal();
	t.is(differing.result?.kind, 'mismatch');

	const orphaned = {...request, key: 'k'};
	world.setTableFault('late');
	const orphan = await world.call('a', orphaned);
	world.setTableFault('unreachable');
	await world.step(0);
	t.deepEqual(orphan.result, {kind: 'notRun', reason: 'claim-unavailable'});
	world.applyLateEffect(0);
	world.setTableFault('ok');
	const replaced = await sendUntilServed(world, {...orphaned, fingerprint: 'g'});
	t.is(replaced.result?.kind, 'ran');
});

test('two callers with the same key text share neither claim nor answer', async t => {
	const world = OnceSimulation.create(entryNames);
	await sendUntilServed(world, request);
	const other = await sendUntilServed(world, {...request, caller: 'y'});
	t.is(other.result?.kind, 'ran');
	t.is(world.countRuns({...request, caller: 'y'}), 1);
});
