/**
 * The chain that the overload scenarios share: catalogue, atelier, commandes.
 *
 * Sizes are those of Lachance, scaled down: servers by 2, slots and connections by 5.
 */
import {performance} from 'node:perf_hooks';
import {Pool} from 'undici';
import {TestBed, type RunningServer} from '../harness/test-bed.ts';
import {type ServerSpec} from '../harness/types.ts';
import {type Route} from '../../stand-ins/backend/types.ts';
import {type PolicyInput} from '../../src/policy/schema.ts';
import {callerTokens, lachancePolicy} from '../lachance.ts';
import {type CallKind} from '../load/types.ts';
import {type VariantKind} from './types.ts';

export const scale = {servers: 2, slots: 5} as const;
const orderServiceMs = 40;
const calibrationMs = 1500;

const routesOf: Readonly<Record<string, readonly Route[]>> = {
	catalogue: [
		{
			method: 'GET',
			path: '/status',
			serviceMs: 2,
			bytes: 512,
			calls: [{method: 'GET', service: 'atelier', path: '/plans/1'}],
		},
	],
	atelier: [
		{
			method: 'GET',
			path: '/plans',
			serviceMs: 2,
			bytes: 512,
			calls: [{method: 'GET', service: 'commandes', path: '/orders/1'}],
		},
	],
	commandes: [{method: 'GET', path: '/orders', serviceMs: orderServiceMs, jitter: 0.5, bytes: 256}],
};

type Shape = {readonly service: string; readonly slots: number; readonly connections: number};

const shapes: readonly Shape[] = [
	{service: 'catalogue', slots: 100 / scale.slots, connections: 700 / scale.slots},
	{service: 'atelier', slots: 120 / scale.slots, connections: 800 / scale.slots},
	{service: 'commandes', slots: 20 / scale.slots, connections: 230 / scale.slots},
];

/**
 * Lists two servers of each service of the chain, one in each data centre.
 *
 * @example
 * const servers = listChainServers();
 */
export function listChainServers(): ServerSpec[] {
	const servers: ServerSpec[] = [];
	for (const dataCentre of ['est-a', 'est-b']) {
		for (const {service, slots, connections} of shapes) {
			servers.push({
				server: `${service}-${dataCentre}`,
				service,
				dataCentre,
				region: 'qc-est',
				slots,
				maxConnections: connections,
				routes: routesOf[service] ?? [],
			});
		}
	}

	return servers;
}

/**
 * Makes the policy of the chain for one variant of the bench.
 *
 * @example
 * const policy = createChainPolicy('fixed');
 */
export function createChainPolicy(kind: VariantKind): PolicyInput {
	const services = lachancePolicy.services.map(service => {
		const shape = shapes.find(candidate => candidate.service === service.name);
		return {
			...service,
			slotsPerServer: shape?.slots ?? 1,
			connectionsPerServer: shape?.connections ?? 1,
			admission: {kind, maxQueued: kind === 'adaptive' ? 200 : 100_000},
			calls: service.calls?.map(rule => ({...rule, ...chainRules[rule.name]})) ?? [],
		};
	});
	return {
		...lachancePolicy,
		services,
		retries: kind === 'adaptive' ? {perRequest: 3} : {kind: 'perHop', perRequest: 3},
	};
}

/** What the chain changes in the call rules of the demo. */
const chainRules: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
	status: {importance: 'high', needs: ['atelier', 'commandes'], deadlineMs: 1000},
	'cutting-plan': {importance: 'high', needs: ['commandes'], deadlineMs: 1000},
	'order-check': {deadlineMs: 1000},
};

/** Calls through the whole chain: important ones of the floor, others of retailers and mills. */
export function listChainKinds(ratePerSecond: number, importantRate: number): CallKind[] {
	const rest = ratePerSecond - importantRate;
	const shared = {method: 'GET', path: '/catalogue/status/7', timeoutMs: 1500} as const;
	return [
		{...shared, name: 'important', token: callerTokens.upholsterer, ratePerSecond: importantRate},
		{...shared, name: 'normal', token: callerTokens.retailer, ratePerSecond: rest / 2},
		{...shared, name: 'low', token: callerTokens.mill, ratePerSecond: rest / 2},
	];
}

/** Keeps every slot of one server busy for a while, past its daemon. */
async function measureServerRate(server: RunningServer): Promise<number> {
	const pool = new Pool(`http://127.0.0.1:${server.backendPort}`);
	const startedAtMs = performance.now();
	let ended = 0;
	const runWorker = async () => {
		while (performance.now() - startedAtMs < calibrationMs) {
			const answer = await pool.request({method: 'GET', path: '/orders/1'});
			await answer.body.dump();
			ended++;
		}
	};

	await Promise.all(Array.from({length: server.spec.slots}, runWorker));
	await pool.destroy();
	return (ended * 1000) / (performance.now() - startedAtMs);
}

/**
 * Measures how many calls a second the narrowest service of the chain can serve.
 *
 * @returns calls a second
 * @example
 * const capacity = await measureCapacity(bed);
 */
export async function measureCapacity(bed: TestBed): Promise<number> {
	const narrow = bed.servers.filter(server => server.spec.service === 'commandes');
	const rates = await Promise.all(narrow.map(async server => measureServerRate(server)));
	let total = 0;
	for (const rate of rates) {
		total += rate;
	}

	return total;
}

/** Starts the test bed of the chain for one variant. */
export async function startChainBed(kind: VariantKind, seed: number): Promise<TestBed> {
	return TestBed.start({servers: listChainServers(), policy: createChainPolicy(kind), seed});
}
