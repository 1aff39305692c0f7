/**
 * Request and response messages of the gossip protocol, and the events and actions of the gossip
 * state machine.
 */
import {type PolicyHead} from '../policy/types.ts';
import {type Member} from './types.ts';

/** Address at which a daemon listens for its peers. */
export type Endpoint = {readonly address: string; readonly peerPort: number};

/** Fields that every message carries. */
export type Envelope = {
	/** Record of the sender, at its highest incarnation. */
	readonly from: Member;
	/** Policy in force on the sender. */
	readonly policy: PolicyHead;
	/** Member records that changed recently. */
	readonly deltas: readonly Member[];
};

export type GossipRequest = Envelope &
	(
		| {readonly kind: 'ping'}
		/** Indirect probe: asks the receiver to ping a member that did not answer the sender. */
		| {readonly kind: 'probe'; readonly target: Member}
		/** Sends deltas at once instead of with the next ping. */
		| {readonly kind: 'push'}
		/** Anti-entropy: asks for the members of the buckets whose digests differ. */
		| {readonly kind: 'sync'; readonly digests: readonly number[]}
	);

export type GossipResponse = Envelope &
	(
		| {readonly kind: 'ack'}
		| {readonly kind: 'probed'; readonly isAlive: boolean}
		| {
				readonly kind: 'members';
				/** Buckets that `members` covers completely. */
				readonly buckets: readonly number[];
				readonly members: readonly Member[];
				/** True when more buckets differ than fit into this response. */
				readonly hasMore: boolean;
		  }
	);

/** Input of the gossip state machine. */
export type GossipEvent =
	| {readonly kind: 'tick'}
	| {readonly kind: 'request'; readonly exchangeId: number; readonly request: GossipRequest}
	| {readonly kind: 'response'; readonly exchangeId: number; readonly response: GossipResponse}
	/** The exchange failed, or its response did not arrive in time. */
	| {readonly kind: 'failed'; readonly exchangeId: number}
	/** The state of the local daemon changed. */
	| {readonly kind: 'announce'; readonly state: 'cold' | 'serving' | 'leaving' | 'dead'}
	/** A policy version came into force on the local daemon. */
	| {readonly kind: 'adopted'; readonly policy: PolicyHead}
	/** Requests a ping to every live member, to learn their policy versions. */
	| {readonly kind: 'survey'}
	/** Endpoints of daemons, read from the platform's table. */
	| {readonly kind: 'seeds'; readonly endpoints: readonly Endpoint[]};

/** Output of the gossip state machine, for the daemon to carry out. */
export type GossipAction =
	| {
			readonly kind: 'send';
			/** Returned with the `response` or `failed` event. */
			readonly exchangeId: number;
			readonly to: Endpoint;
			readonly request: GossipRequest;
			readonly timeoutMs: number;
	  }
	| {readonly kind: 'respond'; readonly exchangeId: number; readonly response: GossipResponse}
	| {readonly kind: 'membersChanged'}
	/** Every ping of the survey was answered or has failed. */
	| {readonly kind: 'surveyed'}
	/** Another daemon has a newer policy version in force, or another digest for the same version. */
	| {readonly kind: 'policyHeard'; readonly policy: PolicyHead; readonly from: Member}
	/** Another instance runs under this server's name and started later. */
	| {readonly kind: 'superseded'; readonly by: Member};
