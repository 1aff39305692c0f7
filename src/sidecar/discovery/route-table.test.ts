import test from 'ava';
import {type MeshConfig, type Route} from '../types.ts';
import {RouteTable} from './route-table.ts';

function createRoute(
	name: string,
	prefix: string,
	weightedServices: Route['weightedServices'],
): Route {
	return {
		name,
		host: 'shop.example',
		prefix,
		weightedServices,
		callKind: 'repeatable',
		timeoutMs: 1000,
		objectiveMs: 1000,
		maxAttempts: 2,
		priority: 1,
	};
}

function createTable(routes: Route[]): RouteTable {
	const config: MeshConfig = {
		version: 1,
		routes,
		services: new Map(),
		limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
		source: '',
	};
	return RouteTable.create(config);
}

const one = [{service: 'one', weight: 1}];

test('the longest matching prefix is chosen, regardless of the query', t => {
	const table = createTable([createRoute('short', '/a/', one), createRoute('long', '/a/b/', one)]);
	t.is(table.findRoute('shop.example', '/a/b/c')?.name, 'long');
	t.is(table.findRoute('shop.example', '/a/b')?.name, 'short');
	t.is(table.findRoute('shop.example', '/a/x?back=/a/b/')?.name, 'short');
	t.is(table.findRoute('SHOP.example:80', '/a/')?.name, 'short');
});

test('an unknown host or path has no route', t => {
	const table = createTable([createRoute('short', '/a/', one)]);
	t.is(table.findRoute('other.example', '/a/b'), undefined);
	t.is(table.findRoute('shop.example', '/b'), undefined);
	t.is(table.findRoute('shop.example', '*'), undefined);
});

test('any hundred requests of a split route keep the weights', t => {
	const weightedServices = [
		{service: 'one', weight: 90},
		{service: 'two', weight: 10},
	];
	const route = createRoute('split', '/a/', weightedServices);
	const table = createTable([route]);
	for (let window = 0; window < 5; window++) {
		let second = 0;
		for (let index = 0; index < 100; index++) {
			second += table.pickService(route) === 'two' ? 1 : 0;
		}

		t.is(second, 10);
	}
});
