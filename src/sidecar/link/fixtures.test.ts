/** Test processes that run at a time have ports of their own. */
import test from 'ava';
import {claimBlock} from './fixtures.ts';

// Two test processes shared their ports, and a server that was down for a moment could not listen again (EADDRINUSE).
test('a process whose id leads to the block of another one gets the next free one', async t => {
	const blocks = new Set<number>();
	for (let claims = 0; claims < 4; claims++) {
		blocks.add(await claimBlock(7));
	}

	t.is(blocks.size, 4);
});
