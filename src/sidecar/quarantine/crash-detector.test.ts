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
	});
	return {detector, crashes, time};
}

test('a failure while the server accepts connections is no end of it', async t => {
	const {detector, crashes} = createDetector(true, ['b']);
	t.false(await detector.check('a'));
	t.deepEqual(crashes, []);
});

test('one end is reported once, with the requests that failed and those that still run', async t => {
	const {detector, crashes, time} = createDetector(false, ['c']);
	t.deepEqual(await Promise.all([detector.check('a'), detector.check('b')]), [true, true]);
	time.nowMs = 500;
	t.true(await detector.check('c'));
	t.deepEqual(crashes, [['a', 'b', 'c']]);
	time.nowMs = 5000;
	t.true(await detector.check('d'));
	t.deepEqual(crashes, [
		['a', 'b', 'c'],
		['c', 'd'],
	]);
});
