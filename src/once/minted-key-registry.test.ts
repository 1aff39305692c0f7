import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {signMintedKey, verifyMintedKey, type MintedKey} from './minted-key.ts';
import {MintedKeyRegistry} from './minted-key-registry.ts';
import {formatNonce} from './nonce.ts';

/** Creates a nonce of the given generation (1296 ms each). */
function createNonce(generation: number): string {
	return formatNonce(1_700_000_000_000 + generation * 1296, '0'.repeat(16));
}

const minted: MintedKey = {
	service: 'commandes',
	caller: 'x',
	instanceId: 'é.1',
	nonce: createNonce(0),
};

test('a minted key is valid only for its own service, caller and secret', t => {
	const text = signMintedKey(minted, 'secret');
	t.deepEqual(verifyMintedKey(text, 'commandes', 'x', 'secret'), minted);
	t.is(verifyMintedKey(text, 'commandes', 'y', 'secret'), undefined);
	t.is(verifyMintedKey(text, 'atelier', 'x', 'secret'), undefined);
	t.is(verifyMintedKey(text, 'commandes', 'x', 'other'), undefined);
	t.is(verifyMintedKey('pv1.a.b.c', 'commandes', 'x', 'secret'), undefined);
	t.is(verifyMintedKey('k1', 'commandes', 'x', 'secret'), undefined);
});

test('a minted key runs at most once and repeated requests get the same answer or none', t => {
	const action = fc.record({
		kind: fc.constantFrom('begin', 'begin', 'send', 'send', 'answer', 'answer', 'lose', 'cancel'),
		generation: fc.nat(9),
	});
	let repeated = 0;
	let unknown = 0;
	fc.assert(
		fc.property(fc.array(action, {maxLength: 150, size: 'max'}), actions => {
			const registry = MintedKeyRegistry.create({maxKeys: 6, maxAnswerBytes: 20});
			const runs = new Map<number, number>();
			const waiting = new Set<number>();
			const violations: string[] = [];
			for (const {kind, generation} of actions) {
				const nonce = createNonce(generation);
				switch (kind) {
					case 'begin': {
						const decision = registry.begin(nonce, 'f');
						if (decision.kind === 'run') {
							waiting.add(generation);
						}

						if (decision.kind === 'repeated') {
							repeated++;
							if (Buffer.from(decision.answer.body).toString() !== `run ${generation}`) {
								violations.push('a repeated request got a different answer');
							}
						}

						unknown += decision.kind === 'unknown' ? 1 : 0;
						break;
					}

					case 'send': {
						if (waiting.delete(generation) && registry.startSend(nonce)) {
							runs.set(generation, (runs.get(generation) ?? 0) + 1);
						}

						break;
					}

					case 'answer':
					case 'lose': {
						const answer = {status: 200, headers: [], body: Buffer.from(`run ${generation}`)};
						registry.finish(nonce, kind === 'answer' ? {kind: 'kept', answer} : undefined);
						break;
					}

					case 'cancel': {
						if (waiting.delete(generation)) {
							registry.cancel(nonce);
						}

						break;
					}
				}

				const {keys, answerBytes} = registry.readUsage();
				if (keys > 6 || answerBytes > 20) {
					violations.push('the memory limits were exceeded');
				}
			}

			t.deepEqual(violations, []);
			t.true(Math.max(0, ...runs.values()) <= 1, 'a key ran twice');
		}),
		{seed: 20_261_204, numRuns: 500},
	);
	t.true(repeated > 0 && unknown > 0);
});

test('a minted key with a different body is refused', t => {
	const registry = MintedKeyRegistry.create({maxKeys: 2, maxAnswerBytes: 10});
	registry.begin(minted.nonce, 'f');
	t.is(registry.begin(minted.nonce, 'g').kind, 'mismatch');
	t.is(registry.begin(minted.nonce, 'f').kind, 'inProgress');
});
