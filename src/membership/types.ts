/**
 * Types of member records, which daemons exchange by gossip.
 */

export const memberStates = {
	/** Running, but its backend server has just started. */
	cold: 'cold',
	serving: 'serving',
	/** Announced that it is shutting down; receives no new requests. */
	leaving: 'leaving',
	/** Did not answer pings; receives no new requests while other members answer. */
	suspect: 'suspect',
	dead: 'dead',
} as const;

export type MemberState = (typeof memberStates)[keyof typeof memberStates];

/** Record of one daemon and the backend server beside it. */
export type Member = {
	readonly server: string;
	readonly service: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly address: string;
	readonly peerPort: number;
	/** Random; generated at every start of the daemon. */
	readonly instanceId: string;
	/**
	 * Unix time of the start in milliseconds; of two instances of one server, the later start takes
	 * precedence.
	 */
	readonly startedAtMs: number;
	/** Incremented only by the member itself, to refute a suspicion or to announce a change. */
	readonly incarnation: number;
	readonly state: MemberState;
	/** Version of the policy that is in force on the member. */
	readonly policyVersion: number;
};
