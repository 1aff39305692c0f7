/**
 * A grey failure under the load of a large fleet: each entry sees a few requests a second, so only the sums over
 * a data centre show the mix, and the most important call trees must get the retries.
 */
import test from 'ava';
import {type Route} from '../types.ts';
import {AdmissionController} from './admission-controller.ts';
import {CostTable} from './cost-table.ts';
import {OverloadReportTable} from './overload-report-table.ts';
import {isOverloadSummary, mergeSummaries, type OverloadSummary} from './overload-summary.ts';

const empty: OverloadSummary = {demands: [], costs: [], origins: [], reports: []};
const lookup: Route = {
	name: 'r-lookup',
	host: 'shop.example',
	prefix: '/lookup/',
	weightedServices: [{service: 'catalogue', weight: 1}],
	callKind: 'repeatable',
	timeoutMs: 2000,
	objectiveMs: 1500,
	maxAttempts: 2,
	priority: 2,
};
const order: Route = {...lookup, name: 'r-order', prefix: '/order/', callKind: 'once', priority: 0};

/** What one instance that runs a route knows of its costs. */
function createCosts(route: string, service: string, calls: number): OverloadSummary {
	const nested = calls === 0 ? [] : [{service: 'orders', slotMs: calls * 60, calls}];
	return {
		...empty,
		costs: [{route, service, costs: [{service, slotMs: 200, calls: 1}, ...nested]}],
	};
}

function createDemand(route: Route, service: string, perSecond: number): OverloadSummary {
	const {name, priority} = route;
	return {...empty, demands: [{route: name, service, priority, perSecond}]};
}

test('demands are added up, origins decided by majority, reports kept', t => {
	const report = {
		instance: 'one',
		service: 's',
		region: 'r',
		openShare: 1,
		repeatableShare: 0.2,
		ageMs: 10,
	};
	const origin = {route: 'r', callerService: 's', isNested: true};
	const merged = mergeSummaries([
		createDemand(lookup, 'shop', 2),
		createDemand(lookup, 'shop', 3),
		{...empty, origins: [origin], reports: [report]},
		{...empty, origins: [{...origin, isNested: false}]},
		{...empty, origins: [origin]},
	]);
	t.is(merged.demands[0]!.perSecond, 5);
	t.true(merged.origins[0]!.isNested);
	t.deepEqual(merged.reports, [report]);
});

test('an instance that does not know the nested calls of a route yet does not make it look cheaper', t => {
	const merged = mergeSummaries([
		createCosts('r-order', 'atelier', 4),
		createCosts('r-order', 'atelier', 0),
		createCosts('r-order', 'atelier', 0),
	]);
	const nested = merged.costs[0]!.costs.find(each => each.service === 'orders');
	t.is(nested?.calls, 4);
});

test('a value that is no summary is rejected', t => {
	t.true(isOverloadSummary(structuredClone(createCosts('r', 's', 1))));
	for (const value of [
		undefined,
		null,
		[],
		{},
		{...empty, demands: [{route: 'r'}]},
		{...empty, costs: [{route: 'r', service: 's'}]},
		{...empty, reports: 'none'},
	]) {
		t.false(isOverloadSummary(value));
	}
});

test('with the demand of the data centre, the retries of a grey failure go to the most important trees', t => {
	const nowMs = 10_000;
	const overloadReports = OverloadReportTable.create('r');
	const costs = CostTable.create();
	const admission = AdmissionController.create({costs, overloadReports, random: () => 0.5});
	const merged = mergeSummaries([
		createCosts('r-order', 'atelier', 4),
		createCosts('r-lookup', 'catalogue', 4),
		createDemand(order, 'atelier', 22),
		createDemand(lookup, 'catalogue', 55),
	]);
	for (const {route, service, costs: list} of merged.costs) {
		costs.set(route, service, new Map(list.map(cost => [cost.service, cost])));
	}

	overloadReports.record(
		{
			instance: 'one',
			service: 'orders',
			region: 'r',
			openShare: 1,
			repeatableShare: 0.25,
			ageMs: 0,
		},
		nowMs,
	);
	const exchangeIntervalMs = 6000;
	admission.setSharedDemands(merged.demands, nowMs - exchangeIntervalMs);

	// This entry itself sees nothing but a lookup now and then.
	t.is(admission.decide(lookup, 'catalogue', nowMs + 200).kind, 'shed');
	t.is(admission.decide(order, 'atelier', nowMs + 400).kind, 'admitted');
});
