import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {signMintedKey, verifyMintedKey, type MintedKey} from './minted-key.ts';
import {MintedLedger} from './minted-ledger.ts';
import {formatNonce} from './nonce.ts';

/** Makes a nonce of a given second. */
function createNonce(second: number): string {
	return formatNonce(1_700_000_000_000 + second * 1296, '0'.repeat(16));
}

const minted: MintedKey = {
	service: 'commandes',
	caller: 'x',
	instanceId: 'é.1',
	nonce: createNonce(0),
};

test('a minted key is good for its own service, caller and secret only', t => {
	const text = signMintedKey(minted, 'secret');
	t.deepEqual(verifyMintedKey(text, 'commandes', 'x', 'secret'), minted);
	t.is(verifyMintedKey(text, 'commandes', 'y', 'secret'), undefined);
	t.is(verifyMintedKey(text, 'atelier', 'x', 'secret'), undefined);
	t.is(verifyMintedKey(text, 'commandes', 'x', 'other'), undefined);
	t.is(verifyMintedKey('pv1.a.b.c', 'commandes', 'x', 'secret'), undefined);
	t.is(verifyMintedKey('k1', 'commandes', 'x', 'secret'), undefined);
});

test('a minted key runs at most once and its repeats get the same answer or none', t => {
	const action = fc.record({
		kind: fc.constantFrom('begin', 'begin', 'send', 'send', 'answer', 'answer', 'lose', 'cancel'),
		second: fc.nat(9),
	});
	let repeated = 0;
	let unknown = 0;
	fc.assert(
		fc.property(fc.array(action, {maxLength: 150, size: 'max'}), actions => {
			const ledger = MintedLedger.create({maxKeys: 6, maxAnswerBytes: 20});
			const runs = new Map<number, number>();
			const waiting = new Set<number>();
			const violations: string[] = [];
			for (const {kind, second} of actions) {
				const nonce = createNonce(second);
				switch (kind) {
					case 'begin': {
						const verdict = ledger.begin(nonce, 'f');
						if (verdict.kind === 'run') {
							waiting.add(second);
						}

						if (verdict.kind === 'repeated') {
							repeated++;
							if (Buffer.from(verdict.answer.body).toString() !== `run ${second}`) {
								violations.push('another answer');
							}
						}

						unknown += verdict.kind === 'unknown' ? 1 : 0;
						break;
					}

					case 'send': {
						if (waiting.delete(second) && ledger.startSend(nonce)) {
							runs.set(second, (runs.get(second) ?? 0) + 1);
						}

						break;
					}

					case 'answer':
					case 'lose': {
						const answer = {status: 200, headers: [], body: Buffer.from(`run ${second}`)};
						ledger.finish(nonce, kind === 'answer' ? {kind: 'kept', answer} : undefined);
						break;
					}

					case 'cancel': {
						if (waiting.delete(second)) {
							ledger.cancel(nonce);
						}

						break;
					}
				}

				const {keys, answerBytes} = ledger.readUsage();
				if (keys > 6 || answerBytes > 20) {
					violations.push('too much memory');
				}
			}

			t.deepEqual(violations, []);
			t.true(Math.max(0, ...runs.values()) <= 1, 'a key ran twice');
		}),
		{seed: 20_261_204, numRuns: 500},
	);
	t.true(repeated > 0 && unknown > 0);
});

test('a minted key with another body is refused', t => {
	const ledger = MintedLedger.create({maxKeys: 2, maxAnswerBytes: 10});
	ledger.begin(minted.nonce, 'f');
	t.is(ledger.begin(minted.nonce, 'g').kind, 'mismatch');
	t.is(ledger.begin(minted.nonce, 'f').kind, 'inProgress');
});
