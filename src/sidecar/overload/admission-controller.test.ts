/** A service deep in the call tree can accept only a part of its demand. */
import test from 'ava';
import {type Route} from '../types.ts';
import {AdmissionController} from './admission-controller.ts';
import {CostTable} from './cost-table.ts';
import {OverloadReportTable} from './overload-report-table.ts';

const lookup = createRoute('lookup', 'catalogue', 2);
const order = createRoute('order', 'atelier', 0);
const status = createRoute('status', 'commandes', 2);
const download = createRoute('download', 'patrons', 2);

function createRoute(name: string, service: string, priority: number): Route {
	return {
		name,
		host: 'shop.example',
		prefix: `/${name}/`,
		weightedServices: [{service, weight: 1}],
		callKind: 'repeatable',
		timeoutMs: 1000,
		objectiveMs: 1000,
		maxAttempts: 2,
		priority,
	};
}

function createCosts(): CostTable {
	const costs = CostTable.create();
	costs.set(
		'lookup',
		'catalogue',
		new Map([
			['catalogue', {slotMs: 80, calls: 1}],
			['commandes', {slotMs: 88, calls: 4}],
		]),
	);
	costs.set(
		'order',
		'atelier',
		new Map([
			['atelier', {slotMs: 100, calls: 1}],
			['commandes', {slotMs: 88, calls: 4}],
		]),
	);
	costs.set('status', 'commandes', new Map([['commandes', {slotMs: 310, calls: 1}]]));
	costs.set('download', 'patrons', new Map([['patrons', {slotMs: 60, calls: 1}]]));
	return costs;
}

/** Simulates ten seconds of mixed traffic and returns the admitted share of each route. */
function simulate(openShare: number, repeatableShare = 1): Map<string, number> {
	const overloadReports = OverloadReportTable.create('east');
	let state = 1;
	const admission = AdmissionController.create({
		costs: createCosts(),
		overloadReports,
		random() {
			state = (state * 48_271) % 2_147_483_647;
			return state / 2_147_483_647;
		},
	});
	const admitted = new Map<string, number>();
	const requested = new Map<string, number>();
	for (let nowMs = 0; nowMs < 10_000; nowMs += 10) {
		overloadReports.record(
			{instance: 'one', service: 'commandes', region: 'east', openShare, repeatableShare, ageMs: 0},
			nowMs,
		);
		const routes = [lookup, lookup, lookup, lookup, lookup, lookup, order, order, status, download];
		for (const route of routes) {
			const decision = admission.decide(route, route.weightedServices[0]!.service, nowMs);
			requested.set(route.name, (requested.get(route.name) ?? 0) + 1);
			if (decision.kind === 'admitted') {
				admitted.set(route.name, (admitted.get(route.name) ?? 0) + 1);
			}
		}
	}

	return new Map([...requested].map(([name, count]) => [name, (admitted.get(name) ?? 0) / count]));
}

test("the most important route and routes that don't use the overloaded service are fully admitted", t => {
	const shares = simulate(0.6);
	t.true(shares.get('order')! > 0.98);
	t.is(shares.get('download'), 1);
});

test('among routes of one priority, the one that costs the overloaded service most is shed first', t => {
	const shares = simulate(0.7);
	t.true(shares.get('lookup')! > shares.get('status')! + 0.1);
	t.true(shares.get('status')! > 0.3);
});

test('every route keeps a minimum share', t => {
	const shares = simulate(0.4);
	t.true(shares.get('status')! > 0.06);
});

test('nothing is shed while the service can accept its whole demand', t => {
	for (const share of simulate(1).values()) {
		t.is(share, 1);
	}
});

/** Creates a controller for a service that accepts a tenth of its demand; every draw leads to shedding. */
function createOverloaded(costs: CostTable): AdmissionController {
	const overloadReports = OverloadReportTable.create('east');
	const report = {instance: 'one', service: 'commandes', region: 'east', repeatableShare: 1};
	overloadReports.record({...report, openShare: 0.1, ageMs: 0}, 0);
	return AdmissionController.create({costs, overloadReports, random: () => 0.99});
}

test('a route with unknown costs counts only against the service that runs it', t => {
	const admission = createOverloaded(CostTable.create());
	admission.decide(status, 'commandes', 0);
	t.is(admission.decide(status, 'commandes', 200).kind, 'shed');
	t.is(admission.decide(lookup, 'catalogue', 200).kind, 'admitted');
});

test('a shed request is answered with a retry delay between 0.3 and 1.8 seconds', t => {
	const admission = createOverloaded(createCosts());
	admission.decide(status, 'commandes', 0);
	const decision = admission.decide(status, 'commandes', 200);
	t.true(decision.kind === 'shed' && decision.retryAfterMs > 300 && decision.retryAfterMs < 1800);
});

test('while servers refuse requests at random, the retries go to the most important route', t => {
	const shares = simulate(1, 0.2);
	t.true(shares.get('order')! > 0.4);
	t.true(shares.get('lookup')! < 0.15);
	t.is(shares.get('status'), 1);
	t.is(shares.get('download'), 1);
});
