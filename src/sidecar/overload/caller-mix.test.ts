import test from 'ava';
import {CallerMix} from './caller-mix.ts';

const services = ['catalogue', 'atelier', 'patrons', 'commandes'];

test('a route asked from one service only is made of calls of its servers', t => {
	const mix = CallerMix.create(() => 4);
	for (let index = 0; index < 10; index++) {
		mix.record('prices', 'patrons');
	}

	t.true(mix.isInner('prices', 'patrons', services.length));
});

test('a route asked beside all services is made of requests of callers', t => {
	const mix = CallerMix.create(() => 4);
	for (let index = 0; index < 40; index++) {
		mix.record('lookup', services[index % 4]!);
	}

	for (const service of services) {
		t.false(mix.isInner('lookup', service, services.length));
	}
});

test('calls are seen among the requests of callers for the same route', t => {
	const mix = CallerMix.create(() => 4);
	for (let index = 0; index < 40; index++) {
		mix.record('lookup', services[index % 4]!);
		mix.record('lookup', 'patrons');
		mix.record('lookup', 'patrons');
	}

	t.true(mix.isInner('lookup', 'patrons', services.length));
	t.false(mix.isInner('lookup', 'atelier', services.length));
});

test('too few requests tell nothing', t => {
	const mix = CallerMix.create(() => 4);
	mix.record('prices', 'patrons');
	t.is(mix.isInner('prices', 'patrons', services.length), undefined);
});

test('a route that two services call, one of them seldom, is inner for both', t => {
	const mix = CallerMix.create(() => 4);
	for (let index = 0; index < 100; index++) {
		mix.record('index', index % 10 === 0 ? 'catalogue' : 'atelier');
	}

	t.true(mix.isInner('index', 'catalogue', services.length));
	t.true(mix.isInner('index', 'atelier', services.length));
});
