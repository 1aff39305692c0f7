/**
 * Types of members, as daemons know one another.
 */

export const memberStates = {
	/** Runs, but its backend server has just started. */
	cold: 'cold',
	serving: 'serving',
	/** Announced its departure; gets no new work. */
	leaving: 'leaving',
	/** Missed probes; gets no new work while others answer. */
	suspect: 'suspect',
	dead: 'dead',
} as const;

export type MemberState = (typeof memberStates)[keyof typeof memberStates];

/** One daemon and the backend server beside it. */
export type Member = {
	readonly server: string;
	readonly service: string;
	readonly dataCentre: string;
	readonly region: string;
	readonly address: string;
	readonly peerPort: number;
	/** Random, new with every start of the daemon. */
	readonly instanceId: string;
	/** Wall time of the start in milliseconds; of two instances of one server the later start wins. */
	readonly startedAtMs: number;
	/** Raised by the member alone, to refute a suspicion or to announce a change. */
	readonly incarnation: number;
	readonly state: MemberState;
	/** Version of the policy that the member has in force. */
	readonly policyVersion: number;
};
