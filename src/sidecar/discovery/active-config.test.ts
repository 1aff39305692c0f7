/** Guards against a configuration that goes back, or stays, after the store returned from an older copy (CONFIG). */
import fc from 'fast-check';
import {err, ok} from 'neverthrow';
import test from 'ava';
import {Logger} from '../../reporting/logger.ts';
import {MessageLog} from '../reporting/message-log.ts';
import {type MeshConfig} from '../types.ts';
import {ActiveConfig} from './active-config.ts';

const limits = {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1};

/** Decodes `VERSION CONTENT`; any other text is invalid. */
function createConfig(): ActiveConfig {
	return ActiveConfig.create({
		logger: Logger.create('test', 'error'),
		messageLog: MessageLog.create(Logger.create('test', 'error')),
		decode(source) {
			const version = Number(source.split(' ')[0]);
			const config: MeshConfig = {version, routes: [], services: new Map(), limits, source};
			return Number.isSafeInteger(version) ? ok(config) : err(new Error('is invalid'));
		},
		handleChange() {
			// Not checked here.
		},
	});
}

// CONFIG: an acknowledged change was ignored, since another content with its version had been lost with the store.
test('other content with the version in force is applied from a later position only', t => {
	const config = createConfig();
	config.apply('5 first', 'store', {era: 1, version: 10});
	config.apply('5 from a peer', 'a peer');
	t.is(config.routes?.config.source, '5 first');
	config.apply('5 second', 'store', {era: 2, version: 8});
	t.is(config.routes?.config.source, '5 second');
	config.apply('5 late', 'store', {era: 1, version: 11});
	t.is(config.routes?.config.source, '5 second');
});

// CONFIG: a second restore brought back what the operators had replaced.
test('a content that was replaced does not come back with a further restore', t => {
	const config = createConfig();
	config.apply('5 first', 'store', {era: 1, version: 10});
	config.apply('5 second', 'store', {era: 2, version: 8});
	config.apply('5 first', 'store', {era: 3, version: 5});
	t.is(config.routes?.config.source, '5 second');
	config.apply('6 first', 'store', {era: 3, version: 6});
	t.is(config.routes?.config.source, '6 first');
});

// CONFIG: a configuration came back older, or an invalid one was taken.
test('whatever comes in whatever order, the version never falls and an invalid text changes nothing', t => {
	const source = fc.oneof(
		fc.tuple(fc.nat(5), fc.constantFrom('a', 'b')).map(([version, text]) => `${version} ${text}`),
		fc.constantFrom('', 'x 1', '{"version":'),
	);
	const position = fc.option(fc.record({era: fc.nat(3), version: fc.nat(9)}), {nil: undefined});
	t.notThrows(() => {
		fc.assert(
			fc.property(fc.array(fc.tuple(source, position), {maxLength: 20}), inputs => {
				const config = createConfig();
				for (const [text, at] of inputs) {
					const {version} = config;
					config.apply(text, 'store', at);
					if (config.version < version) {
						return false;
					}
				}

				return true;
			}),
			{seed: 26, numRuns: 500},
		);
	});
});
