/** GONE: requests waited in the accept queue for half a second while the event loop's timer was punctual. */
import test from 'ava';
import {AcceptQueue} from './accept-queue.ts';

/** An event loop with turns of 10 ms. */
class LoopFixture {
	nowMs = 0;
	readonly queue = AcceptQueue.create({
		schedule: run => {
			this.#scheduled.push(run);
		},
		readNowMs: () => this.nowMs,
	});

	#scheduled: Array<() => void> = [];

	/** Runs turns that accept a connection each, or none. */
	runTurns(count: number, accepts: boolean): void {
		for (let turn = 0; turn < count; turn++) {
			this.nowMs += 10;
			if (accepts) {
				this.queue.recordAccept();
			}

			const runs = this.#scheduled;
			this.#scheduled = [];
			for (const run of runs) {
				run();
			}
		}
	}
}

test('connections that are accepted in turn after turn may have waited since the first of these', t => {
	const loop = new LoopFixture();
	loop.runTurns(1, true);
	t.true(loop.queue.isPending);
	t.false(loop.queue.isLate());
	loop.runTurns(50, true);
	t.true(loop.queue.isLate());
	t.is(loop.queue.readWaitMs(), 500);
	t.is(loop.queue.collectMaxWaitMs(), 500);
	t.is(loop.queue.collectMaxWaitMs(), 0);
});

test('a turn without a connection shows that none waits', t => {
	const loop = new LoopFixture();
	loop.runTurns(20, true);
	loop.runTurns(1, false);
	t.false(loop.queue.isPending);
	t.is(loop.queue.readWaitMs(), 0);
	// What was accepted last is still to be read.
	t.true(loop.queue.isLate());
	loop.runTurns(10, false);
	t.false(loop.queue.isLate());
});

test('connections with turns between them have not waited', t => {
	const loop = new LoopFixture();
	for (let index = 0; index < 10; index++) {
		loop.runTurns(1, true);
		loop.runTurns(1, false);
	}

	t.false(loop.queue.isLate());
	t.is(loop.queue.collectMaxWaitMs(), 0);
});
