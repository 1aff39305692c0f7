/** BUDGET: the end of a server must be told from a lost answer, with all requests that may have caused it. */
import test from 'ava';
import {CrashDetector} from './crash-detector.ts';

function createDetector(isListening: boolean, running: readonly string[] = []) {
	const crashes: string[][] = [];
	const time = {nowMs: 0};
	const detector = CrashDetector.create({
		isListening: async () => isListening,
		listRunning: () => running,
		readNow: () => time.nowMs,
		handleCrash(digests) {
			crashes.push([...digests].toSorted());
		},
		countEnds: digest => crashes.filter(each => each.includes(digest)).length,
	});
	return {detector, crashes, time};
}

test('a failure while the server accepts connections is no end of it', async t => {
	const {detector, crashes} = createDetector(true, ['b']);
	t.is(await detector.check('a'), 'none');
	t.deepEqual(crashes, []);
});

test('one end is reported once, with the requests that failed and those that still run', async t => {
	const {detector, crashes, time} = createDetector(false, ['c']);
	const ends = await Promise.all([detector.check('a'), detector.check('b')]);
	t.deepEqual(ends, ['shared', 'shared']);
	time.nowMs = 500;
	t.is(await detector.check('c'), 'shared');
	t.deepEqual(crashes, [['a', 'b', 'c']]);
	time.nowMs = 5000;
	t.is(await detector.check('d'), 'shared');
	t.is(await detector.check('c'), 'suspect');
	t.deepEqual(crashes, [
		['a', 'b', 'c'],
		['c', 'd'],
	]);
});

test('a request that ran alone is the suspect', async t => {
	const {detector} = createDetector(false);
	t.is(await detector.check('a'), 'suspect');
});
