/**
 * Chain of services that the overload scenarios share: catalogue calls atelier, which calls commandes.
 *
 * Sizes are those of the Lachance deployment, scaled down: servers by 2, slots and connections by 5.
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

export const scaleDivisors = {servers: 2, slots: 5} as const;
const orderServiceMs = 40;
const calibrationMs = 1500;

const routesByService: Readonly<Record<string, readonly Route[]>> = {
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

type ServiceCapacity = {
	readonly service: string;
	readonly slots: number;
	readonly connections: number;
};

const serviceCapacities: readonly ServiceCapacity[] = [
	{service: 'catalogue', slots: 100 / scaleDivisors.slots, connections: 700 / scaleDivisors.slots},
	{service: 'atelier', slots: 120 / scaleDivisors.slots, connections: 800 / scaleDivisors.slots},
	{service: 'commandes', slots: 20 / scaleDivisors.slots, connections: 230 / scaleDivisors.slots},
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
		for (const {service, slots, connections} of serviceCapacities) {
			servers.push({
				server: `${service}-${dataCentre}`,
				service,
				dataCentre,
				region: 'qc-est',
				slots,
				maxConnections: connections,
				routes: routesByService[service] ?? [],
			});
		}
	}

	return servers;
}

/**
 * Creates the policy of the chain for one variant.
 *
 * @example
 * const policy = createChainPolicy('fixed');
 */
export function createChainPolicy(kind: VariantKind): PolicyInput {
	const services = lachancePolicy.services.map(service => {
		const capacity = serviceCapacities.find(candidate => candidate.service === service.name);
		return {
			...service,
			slotsPerServer: capacity?.slots ?? 1,
			connectionsPerServer: capacity?.connections ?? 1,
			admission: {kind, maxQueued: kind === 'adaptive' ? 200 : 100_000},
			calls: service.calls?.map(rule => ({...rule, ...callRuleOverrides[rule.name]})) ?? [],
		};
	});
	return {
		...lachancePolicy,
		services,
		retries: kind === 'adaptive' ? {perRequest: 3} : {kind: 'perHop', perRequest: 3},
	};
}

/** Fields that override the call rules of the Lachance policy, by rule name. */
const callRuleOverrides: Readonly<Record<string, Readonly<Record<string, unknown>>>> = {
	status: {importance: 'high', needs: ['atelier', 'commandes'], deadlineMs: 1000},
	'cutting-plan': {importance: 'high', needs: ['commandes'], deadlineMs: 1000},
	'order-check': {deadlineMs: 1000},
};

/**
 * Lists the kinds of calls through the whole chain: important ones from an upholsterer, the rest half from a
 * retailer and half from a mill.
 */
export function listChainCallKinds(ratePerSecond: number, importantRate: number): CallKind[] {
	const otherRate = ratePerSecond - importantRate;
	const shared = {method: 'GET', path: '/catalogue/status/7', timeoutMs: 1500} as const;
	return [
		{...shared, name: 'important', token: callerTokens.upholsterer, ratePerSecond: importantRate},
		{...shared, name: 'normal', token: callerTokens.retailer, ratePerSecond: otherRate / 2},
		{...shared, name: 'low', token: callerTokens.mill, ratePerSecond: otherRate / 2},
	];
}

/** Measures the calls per second of one server with all slots busy, bypassing its daemon. */
async function measureServerRate(server: RunningServer): Promise<number> {
	const pool = new Pool(`http://127.0.0.1:${server.backendPort}`);
	const startedAtMs = performance.now();
	let completed = 0;
	const runWorker = async () => {
		while (performance.now() - startedAtMs < calibrationMs) {
			const answer = await pool.request({method: 'GET', path: '/orders/1'});
			await answer.body.dump();
			completed++;
		}
	};

	await Promise.all(Array.from({length: server.spec.slots}, runWorker));
	await pool.destroy();
	return (completed * 1000) / (performance.now() - startedAtMs);
}

/**
 * Measures the capacity of commandes, the bottleneck service of the chain.
 *
 * @returns calls per second
 * @example
 * const capacity = await measureCapacity(bed);
 */
export async function measureCapacity(bed: TestBed): Promise<number> {
	const bottleneckServers = bed.servers.filter(server => server.spec.service === 'commandes');
	const rates = await Promise.all(bottleneckServers.map(async server => measureServerRate(server)));
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
