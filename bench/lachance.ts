/**
 * Lachance, the example deployment of the demo and the bench: three services in two data centres,
 * with a chain of nested calls from `catalogue` through `atelier` to `commandes`.
 */
import {createHash} from 'node:crypto';
import {type Route} from '../stand-ins/backend/types.ts';
import {type PolicyInput} from '../src/policy/schema.ts';
import {type ServerSpec} from './harness/types.ts';

/** Bearer token of each caller. */
export const callerTokens = {
	retailer: 'retailer-token',
	upholsterer: 'upholsterer-token',
	mill: 'mill-token',
} as const;

const computeTokenDigest = (token: string): string =>
	createHash('sha256').update(token).digest('hex');

/** Policy of the example deployment. */
export const lachancePolicy: PolicyInput = {
	services: [
		{
			name: 'catalogue',
			slotsPerServer: 20,
			connectionsPerServer: 200,
			calls: [
				{name: 'swatch', method: 'GET', path: '/swatches/*', importance: 'low'},
				{name: 'status', method: 'GET', path: '/status/*', importance: 'normal'},
			],
		},
		{
			name: 'atelier',
			slotsPerServer: 20,
			connectionsPerServer: 200,
			calls: [
				{
					name: 'cutting-plan',
					method: 'GET',
					path: '/plans/*',
					importance: 'high',
					needs: ['commandes'],
				},
			],
		},
		{
			name: 'commandes',
			slotsPerServer: 10,
			connectionsPerServer: 100,
			calls: [
				{
					name: 'cutting-order',
					method: 'POST',
					path: '/orders',
					importance: 'critical',
					once: true,
				},
				{name: 'order-check', method: 'GET', path: '/orders/*', importance: 'high'},
			],
		},
	],
	callers: [
		{
			name: 'retailer',
			tokenSha256: computeTokenDigest(callerTokens.retailer),
			maxImportance: 'normal',
		},
		{name: 'upholsterer', tokenSha256: computeTokenDigest(callerTokens.upholsterer)},
		{name: 'mill', tokenSha256: computeTokenDigest(callerTokens.mill), maxImportance: 'low'},
	],
	objectives: [
		{service: 'commandes', target: 0.999, latencyMs: 1000},
		{service: 'catalogue', target: 0.99, latencyMs: 1000},
	],
};

const catalogueRoutes: readonly Route[] = [
	{method: 'GET', path: '/swatches', serviceMs: 4, jitter: 0.5, bytes: 4096},
	{
		method: 'GET',
		path: '/status',
		serviceMs: 3,
		jitter: 0.5,
		bytes: 512,
		calls: [{method: 'GET', service: 'atelier', path: '/plans/1'}],
	},
];

const atelierRoutes: readonly Route[] = [
	{
		method: 'GET',
		path: '/plans',
		serviceMs: 5,
		jitter: 0.5,
		bytes: 1024,
		calls: [{method: 'GET', service: 'commandes', path: '/orders/1'}],
	},
];

const commandesRoutes: readonly Route[] = [
	{method: 'POST', path: '/orders', serviceMs: 8, jitter: 0.5, bytes: 256},
	{method: 'GET', path: '/orders', serviceMs: 4, jitter: 0.5, bytes: 256},
];

/** Properties that the servers of a service have in common. */
type ServerTemplate = {
	readonly service: string;
	readonly slots: number;
	readonly maxConnections: number;
	readonly routes: readonly Route[];
};

const serverTemplates: readonly ServerTemplate[] = [
	{service: 'catalogue', slots: 20, maxConnections: 200, routes: catalogueRoutes},
	{service: 'atelier', slots: 20, maxConnections: 200, routes: atelierRoutes},
	{service: 'commandes', slots: 10, maxConnections: 100, routes: commandesRoutes},
];

/**
 * Lists one server of each service in each data centre of region qc-est.
 *
 * @example
 * const servers = listLachanceServers();
 */
export function listLachanceServers(): ServerSpec[] {
	const servers: ServerSpec[] = [];
	for (const dataCentre of ['est-a', 'est-b']) {
		for (const template of serverTemplates) {
			servers.push({
				server: `${template.service}-${dataCentre}`,
				dataCentre,
				region: 'qc-est',
				...template,
			});
		}
	}

	return servers;
}
