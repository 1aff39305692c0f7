import test from 'ava';
import {runProcesses} from './process-run.ts';

const steps = 6;

test('a once call runs at most once while daemons and the platform fail', async t => {
	const result = await runProcesses(3, {kind: 'steps', steps});
	t.deepEqual(result.violations, []);
	t.is(result.steps, steps);
	t.is(result.badExits, 0);
	t.true(result.answered > 0);
});
