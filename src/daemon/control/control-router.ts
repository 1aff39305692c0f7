/**
 * Procedures that daemons call on one another, over trpc.
 */
import {initTRPC} from '@trpc/server';
import {type GossipRequest, type GossipResponse} from '../../membership/messages.ts';
import {type PackedPolicy} from './packed-policy.ts';

/** What a daemon answers to its peers. */
export type ControlPort = {
	/** Resolves with the answer of this daemon's gossip. */
	readonly exchange: (request: GossipRequest) => Promise<GossipResponse>;
	/** Reads the policy version in force, packed. */
	readonly readPolicy: () => PackedPolicy;
};

const requestKinds: ReadonlySet<unknown> = new Set(['ping', 'probe', 'push', 'sync']);

/** Path under which the peer port serves the procedures. */
export const controlPath = '/primrosevalve/control/';

/**
 * Creates the router of the control procedures.
 *
 * @example
 * const router = createControlRouter(port);
 */
export function createControlRouter(port: ControlPort) {
	const trpc = initTRPC.create();
	return trpc.router({
		exchange: trpc.procedure
			.input(parseGossipRequest)
			.mutation(async ({input}): Promise<GossipResponse> => port.exchange(input)),
		policy: trpc.procedure.query((): PackedPolicy => port.readPolicy()),
	});
}

export type ControlRouter = ReturnType<typeof createControlRouter>;

/** Checks the frame of a request; peers hold the peer key and run the same code. */
function parseGossipRequest(value: unknown): GossipRequest {
	const request = value as Partial<GossipRequest> | undefined;
	const isWhole =
		requestKinds.has(request?.kind) &&
		typeof request?.from?.server === 'string' &&
		typeof request.from.instanceId === 'string' &&
		typeof request.policy?.version === 'number' &&
		Array.isArray(request.deltas);
	if (!isWhole) {
		throw new Error('gossip request is malformed');
	}

	return request as GossipRequest;
}
