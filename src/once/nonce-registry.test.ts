import test from 'ava';
import fc from 'fast-check';
import {formatNonce} from './nonce.ts';
import {NonceRegistry} from './nonce-registry.ts';

/** Creates a nonce of the given generation (1296 ms each). */
function createNonce(generation: number, serial: number): string {
	return formatNonce(1_700_000_000_000 + generation * 1296, serial.toString(16).padStart(16, '0'));
}

test('an evicted nonce is never sent again and never reported as never sent', t => {
	const action = fc.record({
		kind: fc.constantFrom('send', 'kill', 'end', 'retract'),
		generation: fc.nat(30),
		serial: fc.nat(3),
	});
	let forgotten = 0;
	fc.assert(
		fc.property(fc.array(action, {maxLength: 200, size: 'max'}), actions => {
			const registry = NonceRegistry.create(5);
			const sent = new Set<string>();
			const killed = new Set<string>();
			const violations: string[] = [];
			const addViolation = (isBroken: boolean, name: string) => {
				if (isBroken) {
					violations.push(name);
				}
			};

			for (const {kind, generation, serial} of actions) {
				const nonce = createNonce(generation, serial);
				switch (kind) {
					case 'send': {
						if (registry.startSend(nonce)) {
							addViolation(sent.has(nonce), 'sent twice');
							addViolation(killed.has(nonce), 'sent after kill');
							sent.add(nonce);
						}

						break;
					}

					case 'kill': {
						const verdict = registry.kill(nonce);
						if (verdict === 'neverSent') {
							addViolation(sent.has(nonce) && !killed.has(nonce), 'reported as never sent');
							killed.add(nonce);
						}

						forgotten += verdict === 'forgotten' ? 1 : 0;
						break;
					}

					case 'end': {
						registry.finishSend(nonce);
						break;
					}

					case 'retract': {
						if (sent.has(nonce) && registry.kill(nonce) === 'inFlight') {
							registry.retractSend(nonce);
							killed.add(nonce);
						}

						break;
					}
				}

				addViolation(registry.countNonces() > 5, 'too many nonces in memory');
			}

			t.deepEqual(violations, []);
		}),
		{seed: 20_261_204, numRuns: 500},
	);
	t.true(forgotten > 0, 'no nonce was evicted');
});

test('a nonce from a fast clock does not evict the others', t => {
	const registry = NonceRegistry.create(3);
	t.true(registry.startSend(createNonce(1000, 1)));
	for (let generation = 0; generation < 10; generation++) {
		t.true(registry.startSend(createNonce(generation, 1)));
	}

	t.is(registry.kill(createNonce(0, 1)), 'forgotten');
	t.is(registry.kill(createNonce(1000, 1)), 'inFlight');
});

test('text that is not a nonce is never sent', t => {
	const registry = NonceRegistry.create(3);
	t.false(registry.startSend('x'));
	t.is(registry.kill('x'), 'forgotten');
});
