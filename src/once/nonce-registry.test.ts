import test from 'ava';
import fc from 'fast-check';
import {formatNonce} from './nonce.ts';
import {NonceRegistry} from './nonce-registry.ts';

/** Makes a nonce of a given second. */
function createNonce(second: number, serial: number): string {
	return formatNonce(1_700_000_000_000 + second * 1296, serial.toString(16).padStart(16, '0'));
}

test('what is forgotten is never sent again and never told as unsent', t => {
	const action = fc.record({
		kind: fc.constantFrom('send', 'kill', 'end', 'retract'),
		second: fc.nat(30),
		serial: fc.nat(3),
	});
	let forgotten = 0;
	fc.assert(
		fc.property(fc.array(action, {maxLength: 200, size: 'max'}), actions => {
			const registry = NonceRegistry.create(5);
			const sent = new Set<string>();
			const dead = new Set<string>();
			const violations: string[] = [];
			const addViolation = (isBroken: boolean, name: string) => {
				if (isBroken) {
					violations.push(name);
				}
			};

			for (const {kind, second, serial} of actions) {
				const nonce = createNonce(second, serial);
				switch (kind) {
					case 'send': {
						if (registry.startSend(nonce)) {
							addViolation(sent.has(nonce), 'sent twice');
							addViolation(dead.has(nonce), 'sent after it was killed');
							sent.add(nonce);
						}

						break;
					}

					case 'kill': {
						const verdict = registry.kill(nonce);
						if (verdict === 'neverSent') {
							addViolation(sent.has(nonce) && !dead.has(nonce), 'told as never sent');
							dead.add(nonce);
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
							dead.add(nonce);
						}

						break;
					}
				}

				addViolation(registry.countNonces() > 5, 'too many remembered');
			}

			t.deepEqual(violations, []);
		}),
		{seed: 20_261_204, numRuns: 500},
	);
	t.true(forgotten > 0, 'nothing was forgotten');
});

test('a nonce from a fast clock does not make the others forgotten', t => {
	const registry = NonceRegistry.create(3);
	t.true(registry.startSend(createNonce(1000, 1)));
	for (let second = 0; second < 10; second++) {
		t.true(registry.startSend(createNonce(second, 1)));
	}

	t.is(registry.kill(createNonce(0, 1)), 'forgotten');
	t.is(registry.kill(createNonce(1000, 1)), 'inFlight');
});

test('text that is not a nonce is never sent', t => {
	const registry = NonceRegistry.create(3);
	t.false(registry.startSend('x'));
	t.is(registry.kill('x'), 'forgotten');
});
