/**
 * Specification of a small test bed: service `leaf` in two data centres, and service `root` that
 * calls it.
 */
import {type Route} from '../../stand-ins/backend/types.ts';
import {type PolicyInput} from '../../src/policy/schema.ts';
import {type ServerSpec, type TestBedSpec} from './types.ts';

const leafRoutes: readonly Route[] = [
	{method: 'GET', path: '/short', serviceMs: 2, bytes: 256},
	{method: 'POST', path: '/slow', serviceMs: 2500, bytes: 256},
	{method: 'GET', path: '/stream', serviceMs: 1, bytes: 100_000, sendMs: 2000},
	{method: 'POST', path: '/echo', serviceMs: 1, bytes: 64},
];

const rootRoutes: readonly Route[] = [
	{
		method: 'GET',
		path: '/page',
		serviceMs: 1,
		bytes: 256,
		calls: [{method: 'GET', service: 'leaf', path: '/short'}],
	},
];

const policy: PolicyInput = {
	services: [
		{
			name: 'leaf',
			slotsPerServer: 50,
			connectionsPerServer: 200,
			calls: [
				{name: 'echo', method: 'POST', path: '/echo', maxBodyBytes: 2000},
				{name: 'any', path: '/*', deadlineMs: 10_000},
			],
		},
		{name: 'root', slotsPerServer: 50, connectionsPerServer: 200},
	],
};

function createServer(service: string, dataCentre: string, routes: readonly Route[]): ServerSpec {
	return {
		server: `${service}-${dataCentre}`,
		service,
		dataCentre,
		region: 'qc-est',
		slots: 50,
		maxConnections: 200,
		routes,
	};
}

/** One `leaf` server in each of two data centres and one `root` server. */
export const smallTestBedSpec: TestBedSpec = {
	seed: 1,
	policy,
	servers: [
		createServer('root', 'est-a', rootRoutes),
		createServer('leaf', 'est-a', leafRoutes),
		createServer('leaf', 'est-b', leafRoutes),
	],
};
