/**
 * Control procedures that daemons call on each other through trpc.
 */
import {initTRPC} from '@trpc/server';
import {decodeGossipRequest} from '../../membership/decode-messages.ts';
import {type GossipRequest, type GossipResponse} from '../../membership/messages.ts';
import {type PackedPolicy} from './packed-policy.ts';

/** Implementation of the control procedures. */
export type ControlProcedures = {
	/** Passes a request to this daemon's gossip and resolves with the response. */
	readonly exchange: (request: GossipRequest) => Promise<GossipResponse>;
	/** Returns the policy version in force in packed form. */
	readonly readPolicy: () => PackedPolicy;
};

/** Path prefix of the procedures on the peer port. */
export const controlPath = '/primrosevalve/control/';

/**
 * Creates the trpc router for the control procedures.
 *
 * @example
 * const router = createControlRouter(procedures);
 */
export function createControlRouter(procedures: ControlProcedures) {
	const trpc = initTRPC.create();
	return trpc.router({
		exchange: trpc.procedure
			.input(parseGossipRequest)
			.mutation(async ({input}): Promise<GossipResponse> => procedures.exchange(input)),
		policy: trpc.procedure.query((): PackedPolicy => procedures.readPolicy()),
	});
}

export type ControlRouter = ReturnType<typeof createControlRouter>;

/** @throws {Error} when the request is malformed, which trpc answers with status 400 */
function parseGossipRequest(value: unknown): GossipRequest {
	const request = decodeGossipRequest(value);
	if (request === undefined) {
		throw new Error('gossip request is malformed');
	}

	return request;
}
