/**
 * Members, requests, policies and seeded random numbers for the tests of this folder.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {importance} from '../call/types.ts';
import {type Member} from '../membership/types.ts';
import {policySchema, type Policy, type PolicyInput} from '../policy/schema.ts';
import {ServiceRouter} from './service-router.ts';
import {type RouteRequest} from './types.ts';

/**
 * Creates a seeded source of uniform random numbers in [0, 1).
 *
 * @example
 * const random = createRandom(7);
 */
export function createRandom(seed: number): () => number {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}

/**
 * Creates a member of the service `catalogue` in the router's own data centre.
 *
 * @example
 * const member = createMember('s1', {state: 'cold'});
 */
export function createMember(server: string, changes: Partial<Member> = {}): Member {
	return {
		server,
		service: 'catalogue',
		dataCentre: 'est-a',
		region: 'qc-est',
		address: '127.0.0.1',
		peerPort: 1,
		instanceId: `${server}-1`,
		startedAtMs: 0,
		incarnation: 0,
		state: 'serving',
		policyVersion: 1,
		...changes,
	};
}

/** A request for `catalogue` with default values. */
export const request: RouteRequest = {
	service: 'catalogue',
	importance: importance.normal,
	needs: [],
	callName: 'status',
	requestBytes: 1000,
	excluded: new Set(),
};

/**
 * Creates a policy with `catalogue` as its only service.
 *
 * @example
 * const policy = createPolicy({otherRegion: true});
 */
export function createPolicy(
	service: Partial<PolicyInput['services'][number]> = {},
	changes: Partial<PolicyInput> = {},
): Policy {
	return policySchema.parse({services: [{name: 'catalogue', ...service}], ...changes});
}

/**
 * Creates a router in data centre `est-a` with the given members.
 *
 * @example
 * const router = createRouter([createMember('s1')]);
 */
export function createRouter(members: readonly Member[], policy = createPolicy()): ServiceRouter {
	const random = createRandom(7);
	const router = ServiceRouter.create({dataCentre: 'est-a', region: 'qc-est', random});
	router.applyPolicy(policy);
	router.setMembers(members, 0);
	return router;
}
