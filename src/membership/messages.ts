/**
 * Messages that daemons exchange to know one another, as request and response pairs.
 */
import {type PolicyHead} from '../policy/types.ts';
import {type Member} from './types.ts';

/** Where a daemon listens for its peers. */
export type Endpoint = {readonly address: string; readonly peerPort: number};

/** What every message carries besides its own purpose. */
export type Envelope = {
	/** The sender's own record, at its highest incarnation. */
	readonly from: Member;
	/** The policy that the sender has in force. */
	readonly policy: PolicyHead;
	/** Recent changes of members. */
	readonly deltas: readonly Member[];
};

export type GossipRequest = Envelope &
	(
		| {readonly kind: 'ping'}
		/** Asks the receiver to ping a member that did not answer the sender. */
		| {readonly kind: 'probe'; readonly target: Member}
		/** Carries deltas that should not wait for the next ping. */
		| {readonly kind: 'push'}
		/** Asks for the members of the buckets whose digests differ. */
		| {readonly kind: 'sync'; readonly digests: readonly number[]}
	);

export type GossipResponse = Envelope &
	(
		| {readonly kind: 'ack'}
		| {readonly kind: 'probed'; readonly isAlive: boolean}
		| {
				readonly kind: 'members';
				/** Buckets that `members` covers whole. */
				readonly buckets: readonly number[];
				readonly members: readonly Member[];
				/** True when further buckets differ. */
				readonly hasMore: boolean;
		  }
	);

/** What happened to the gossip of one daemon. */
export type GossipEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'request'; readonly exchangeId: number; readonly request: GossipRequest}
	| {readonly kind: 'response'; readonly exchangeId: number; readonly response: GossipResponse}
	/** No response came in time. */
	| {readonly kind: 'failed'; readonly exchangeId: number}
	/** The daemon's own state changed. */
	| {readonly kind: 'announce'; readonly state: 'cold' | 'serving' | 'leaving' | 'dead'}
	/** The daemon put a policy version in force. */
	| {readonly kind: 'adopted'; readonly policy: PolicyHead}
	/** The daemon wants to hear the policy version of every member that it can reach. */
	| {readonly kind: 'survey'}
	/** Endpoints of daemons, as the platform's table names them. */
	| {readonly kind: 'seeds'; readonly endpoints: readonly Endpoint[]};

/** What the daemon has to do for its gossip. */
export type GossipAction =
	| {
			readonly kind: 'send';
			/** Given back with the response or the failure. */
			readonly exchangeId: number;
			readonly to: Endpoint;
			readonly request: GossipRequest;
			readonly timeoutMs: number;
	  }
	| {readonly kind: 'respond'; readonly exchangeId: number; readonly response: GossipResponse}
	| {readonly kind: 'membersChanged'}
	/** Every member was pinged, and has answered or not. */
	| {readonly kind: 'surveyed'}
	| {readonly kind: 'policyHeard'; readonly policy: PolicyHead; readonly from: Member}
	/** Another daemon runs under this server's name and started later. */
	| {readonly kind: 'superseded'; readonly by: Member};
