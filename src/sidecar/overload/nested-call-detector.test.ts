import test from 'ava';
import {NestedCallDetector} from './nested-call-detector.ts';

const services = ['catalogue', 'atelier', 'patrons', 'commandes'];

test('requests from the instances of a single service are nested calls', t => {
	const detector = NestedCallDetector.create(() => 4);
	for (let index = 0; index < 10; index++) {
		detector.record('prices', 'patrons');
	}

	t.true(detector.isNested('prices', 'patrons', services.length));
});

test('requests from the instances of all services are requests of callers', t => {
	const detector = NestedCallDetector.create(() => 4);
	for (let index = 0; index < 40; index++) {
		detector.record('lookup', services[index % 4]!);
	}

	for (const service of services) {
		t.false(detector.isNested('lookup', service, services.length));
	}
});

test('nested calls are detected among requests of callers for the same route', t => {
	const detector = NestedCallDetector.create(() => 4);
	for (let index = 0; index < 40; index++) {
		detector.record('lookup', services[index % 4]!);
		detector.record('lookup', 'patrons');
		detector.record('lookup', 'patrons');
	}

	t.true(detector.isNested('lookup', 'patrons', services.length));
	t.false(detector.isNested('lookup', 'atelier', services.length));
});

test('the origin is undefined after too few requests', t => {
	const detector = NestedCallDetector.create(() => 4);
	detector.record('prices', 'patrons');
	t.is(detector.isNested('prices', 'patrons', services.length), undefined);
});

test('a route that two services call, one of them rarely, is nested for both', t => {
	const detector = NestedCallDetector.create(() => 4);
	for (let index = 0; index < 100; index++) {
		detector.record('index', index % 10 === 0 ? 'catalogue' : 'atelier');
	}

	t.true(detector.isNested('index', 'catalogue', services.length));
	t.true(detector.isNested('index', 'atelier', services.length));
});
