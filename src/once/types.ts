/**
 * Types of once calls: calls that run at most once per idempotency key.
 */
import {type NotRunReason} from '../call/types.ts';

/** The daemon that wrote a claim, and the address at which other daemons reach it. */
export type ClaimHolder = {
	/** Changes with every start of the daemon. */
	readonly instanceId: string;
	readonly address: string;
	readonly peerPort: number;
};

/** A once call as its caller sent it. */
export type OnceRequest = {
	readonly service: string;
	/** Authenticated caller; each caller has its own key space. */
	readonly caller: string;
	/** Idempotency key that the caller chose. */
	readonly key: string;
	/** SHA-256 of method, path and body in hexadecimal. */
	readonly fingerprint: string;
};

/** A complete answer, byte for byte. */
export type StoredAnswer = {
	readonly status: number;
	/** Names and values in the order and spelling received. */
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
};

/** The answer of a finished call, or its status if the answer was not kept. */
export type AnswerRecord =
	| {readonly kind: 'kept'; readonly answer: StoredAnswer}
	/** Not kept because of its size or a memory limit; only the status is known. */
	| {readonly kind: 'dropped'; readonly status: number};

/** Outcome of sending a claimed call. */
export type SendOutcome =
	| {readonly kind: 'answered'; readonly record: AnswerRecord}
	/** It is certain that no byte of the request reached a backend server. */
	| {readonly kind: 'notRun'; readonly reason: NotRunReason}
	| {readonly kind: 'unknown'; readonly reason: string};

/** Result of a once call for one attempt. */
export type OnceResult =
	/** This attempt ran the call. */
	| {readonly kind: 'ran'; readonly record: AnswerRecord}
	/** An earlier attempt ran it; returns the same complete answer. */
	| {readonly kind: 'repeated'; readonly answer: StoredAnswer}
	| {readonly kind: 'notRun'; readonly reason: NotRunReason}
	/** Another attempt with this key is in progress. */
	| {readonly kind: 'inProgress'}
	| {readonly kind: 'unknown'; readonly reason: string}
	/** The key was used before for a request with a different fingerprint. */
	| {readonly kind: 'mismatch'};

/** Reply of a daemon to the request to kill a nonce. */
export type KillVerdict =
	/** Nothing was sent under the nonce, and nothing will be. */
	| 'neverSent'
	/** Sent, and the answer is still awaited. */
	| 'inFlight'
	/** Sent, and no longer awaited. */
	| 'ended'
	/** The daemon evicted the nonce; the call may have been sent. */
	| 'forgotten'
	/** The daemon could not be asked; the call may have been sent. */
	| 'unreachable';

/** Client that kills nonces at the daemons that hold their claims. */
export type HolderClient = {
	killNonce(holder: ClaimHolder, nonce: string): Promise<KillVerdict>;
};

/** Limits of once calls, from the policy. */
export type OnceLimits = {
	/** Seconds for which claims and answers are kept. */
	readonly keepSeconds: number;
	/** Largest answer stored in the claim's row; larger ones go to the object store. */
	readonly maxTableAnswerBytes: number;
	/** Largest answer that is stored at all. */
	readonly maxAnswerBytes: number;
};
