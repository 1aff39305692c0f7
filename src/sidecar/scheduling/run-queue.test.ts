/** GONE: a busy sidecar sent requests to servers before it had read that their callers had left. */
import test from 'ava';
import {RunQueue} from './run-queue.ts';

/** A run queue on a simulated event loop: `finishTurn` is what comes after the poll for input. */
class LoopFixture {
	isLagging = true;
	readonly acceptQueue = {isPending: false, isLate: () => this.acceptQueue.isPending};
	nowMs = 0;
	readonly started: string[] = [];
	readonly queue = RunQueue.create({
		lag: {isLagging: () => this.isLagging},
		acceptQueues: [this.acceptQueue],
		schedule: run => {
			this.#scheduled.push(run);
		},
		readNowMs: () => this.nowMs,
	});

	#scheduled: Array<() => void> = [];

	submit(name: string, takesMs = 0): void {
		this.queue.submit(() => {
			this.nowMs += takesMs;
			this.started.push(name);
		});
	}

	finishTurn(): void {
		const runs = this.#scheduled;
		this.#scheduled = [];
		for (const run of runs) {
			run();
		}
	}
}

test('a punctual event loop starts work at once', t => {
	const loop = new LoopFixture();
	loop.isLagging = false;
	loop.submit('one');
	t.deepEqual(loop.started, ['one']);
});

test('work of a late event loop starts after a further poll for input, in its order', t => {
	const loop = new LoopFixture();
	loop.submit('one');
	loop.finishTurn();
	t.deepEqual(loop.started, []);
	loop.submit('two');
	loop.finishTurn();
	t.deepEqual(loop.started, ['one']);
	loop.isLagging = false;
	loop.submit('three');
	loop.finishTurn();
	loop.finishTurn();
	t.deepEqual(loop.started, ['one', 'two', 'three']);
	loop.submit('four');
	t.is(loop.started.length, 4);
});

test('each turn starts work for 20 ms, so that input is read between', t => {
	const loop = new LoopFixture();
	for (const name of ['one', 'two', 'three', 'four']) {
		loop.submit(name, 12);
	}

	loop.finishTurn();
	loop.finishTurn();
	t.deepEqual(loop.started, ['one', 'two']);
	loop.finishTurn();
	t.is(loop.queue.length, 0);
});

test('work that fails does not hold up the work behind it', t => {
	const loop = new LoopFixture();
	loop.queue.submit(() => {
		throw new Error('failed');
	});
	loop.submit('two');
	loop.finishTurn();
	t.throws(() => {
		loop.finishTurn();
	});
	loop.finishTurn();
	t.deepEqual(loop.started, ['two']);
});

// GONE: work started in the same turn as a connection was accepted, so that the others waited for half a second.
test('connections are accepted before work starts', t => {
	const loop = new LoopFixture();
	loop.isLagging = false;
	loop.acceptQueue.isPending = true;
	loop.submit('one');
	loop.finishTurn();
	loop.nowMs += 5;
	loop.finishTurn();
	t.deepEqual(loop.started, []);
	loop.acceptQueue.isPending = false;
	loop.finishTurn();
	t.deepEqual(loop.started, ['one']);
});

test('work starts every 20 ms while connections keep waiting', t => {
	const loop = new LoopFixture();
	loop.isLagging = false;
	loop.acceptQueue.isPending = true;
	for (const name of ['one', 'two', 'three']) {
		loop.submit(name, 12);
	}

	loop.finishTurn();
	loop.nowMs += 20;
	loop.finishTurn();
	t.deepEqual(loop.started, ['one', 'two']);
	loop.nowMs += 19;
	loop.finishTurn();
	t.is(loop.started.length, 2);
	loop.nowMs += 1;
	loop.finishTurn();
	t.is(loop.started.length, 3);
});
