/**
 * Pattern: a swing of the demand that the service at the end of the call trees can take a part of only.
 */
import test from 'ava';
import {type Route} from '../types.ts';
import {Admission} from './admission.ts';
import {CostBook} from './cost-book.ts';
import {PressureBoard} from './pressure-board.ts';

const lookup = createRoute('lookup', 'catalogue', 2);
const order = createRoute('order', 'atelier', 0);
const status = createRoute('status', 'commandes', 2);
const download = createRoute('download', 'patrons', 2);

function createRoute(name: string, service: string, priority: number): Route {
	return {
		name,
		host: 'shop.example',
		prefix: `/${name}/`,
		parts: [{service, weight: 1}],
		callKind: 'repeatable',
		timeoutMs: 1000,
		objectiveMs: 1000,
		maxAttempts: 2,
		priority,
	};
}

function createCosts(): CostBook {
	const costs = CostBook.create();
	costs.learn(
		'lookup',
		'catalogue',
		new Map([
			['catalogue', {slotMs: 80, calls: 1}],
			['commandes', {slotMs: 88, calls: 4}],
		]),
	);
	costs.learn(
		'order',
		'atelier',
		new Map([
			['atelier', {slotMs: 100, calls: 1}],
			['commandes', {slotMs: 88, calls: 4}],
		]),
	);
	costs.learn('status', 'commandes', new Map([['commandes', {slotMs: 310, calls: 1}]]));
	costs.learn('download', 'patrons', new Map([['patrons', {slotMs: 60, calls: 1}]]));
	return costs;
}

/** Plays ten seconds of the usual mix and counts the share of each route that is started. */
function play(openShare: number, repeatableShare = 1): Map<string, number> {
	const board = PressureBoard.create('east');
	let state = 1;
	const admission = Admission.create({
		costs: createCosts(),
		board,
		random() {
			state = (state * 48_271) % 2_147_483_647;
			return state / 2_147_483_647;
		},
	});
	const started = new Map<string, number>();
	const asked = new Map<string, number>();
	for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
		board.record(
			{instance: 'one', service: 'commandes', region: 'east', openShare, repeatableShare, ageMs: 0},
			nowMs,
		);
		const routes = [lookup, lookup, lookup, lookup, lookup, lookup, order, order, status, download];
		for (const route of routes) {
			const verdict = admission.decide(route, route.parts[0]!.service, nowMs);
			asked.set(route.name, (asked.get(route.name) ?? 0) + 1);
			if (verdict.kind === 'admitted') {
				started.set(route.name, (started.get(route.name) ?? 0) + 1);
			}
		}
	}

	return new Map([...asked].map(([name, count]) => [name, (started.get(name) ?? 0) / count]));
}

test('the important route and those that need nothing scarce are started whole', t => {
	const shares = play(0.6);
	t.true(shares.get('order')! > 0.98);
	t.is(shares.get('download'), 1);
});

test('of routes of one rank, the one that costs the scarce service most gives way first', t => {
	const shares = play(0.7);
	t.true(shares.get('lookup')! > shares.get('status')! + 0.1);
	t.true(shares.get('status')! > 0.3);
});

test('every route keeps a floor', t => {
	const shares = play(0.4);
	t.true(shares.get('status')! > 0.06);
});

test('nothing is shed while the service takes all', t => {
	for (const share of play(1).values()) {
		t.is(share, 1);
	}
});

/** An admission that has heard that the deep service takes a tenth, and draws against its callers. */
function createPressed(costs: CostBook): Admission {
	const board = PressureBoard.create('east');
	const report = {instance: 'one', service: 'commandes', region: 'east', repeatableShare: 1};
	board.record({...report, openShare: 0.1, ageMs: 0}, 0);
	return Admission.create({costs, board, random: () => 0.99});
}

test('a route whose costs are unknown is judged by the service that runs it', t => {
	const admission = createPressed(CostBook.create());
	admission.decide(status, 'commandes', 0);
	t.is(admission.decide(status, 'commandes', 200).kind, 'shed');
	t.is(admission.decide(lookup, 'catalogue', 200).kind, 'admitted');
});

test('a refused caller is told when to come back, within a second and a half', t => {
	const admission = createPressed(createCosts());
	admission.decide(status, 'commandes', 0);
	const verdict = admission.decide(status, 'commandes', 200);
	t.true(verdict.kind === 'shed' && verdict.retryAfterMs > 300 && verdict.retryAfterMs < 1800);
});

test('while servers refuse at random, the repeats go to the important route first', t => {
	const shares = play(1, 0.2);
	t.true(shares.get('order')! > 0.4);
	t.true(shares.get('lookup')! < 0.15);
	t.is(shares.get('status'), 1);
	t.is(shares.get('download'), 1);
});
