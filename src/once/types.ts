/**
 * Types of once calls: calls that run at most once per idempotency key.
 */
import {type NotRunReason} from '../call/types.ts';

/** The daemon that made a claim, and where to ask it. */
export type Holder = {
	/** Changes with every start of the daemon. */
	readonly instanceId: string;
	readonly address: string;
	readonly peerPort: number;
};

/** A once call as its caller sent it. */
export type OnceRequest = {
	readonly service: string;
	/** Authenticated caller; another caller with the same key text never meets this one's claims. */
	readonly caller: string;
	readonly key: string;
	/** Digest of method, path and body. */
	readonly fingerprint: string;
};

/** A whole answer, byte for byte. */
export type StoredAnswer = {
	readonly status: number;
	/** Names and values in the order and spelling in which they were received. */
	readonly headers: ReadonlyArray<readonly [string, string]>;
	readonly body: Uint8Array;
};

/** What became of the answer of a finished call. */
export type AnswerRecord =
	| {readonly kind: 'kept'; readonly answer: StoredAnswer}
	/** Too large to be kept; only the status is known. */
	| {readonly kind: 'dropped'; readonly status: number};

/** How the sending of a claimed call ended. */
export type SendEnd =
	| {readonly kind: 'answered'; readonly record: AnswerRecord}
	/** Proved: no byte of the request reached a backend server. */
	| {readonly kind: 'notRun'; readonly reason: NotRunReason}
	| {readonly kind: 'unknown'; readonly reason: string};

/** What a once call comes to. */
export type OnceResult =
	/** This attempt ran the call. */
	| {readonly kind: 'ran'; readonly record: AnswerRecord}
	/** An earlier attempt ran it; the same whole answer again. */
	| {readonly kind: 'repeated'; readonly answer: StoredAnswer}
	| {readonly kind: 'notRun'; readonly reason: NotRunReason}
	/** Another attempt with this key is on its way. */
	| {readonly kind: 'inProgress'}
	| {readonly kind: 'unknown'; readonly reason: string}
	/** The key was used before for a request with other content. */
	| {readonly kind: 'mismatch'};

/** What a daemon says about a nonce when it is asked to kill it. */
export type KillVerdict =
	/** Nothing was sent under it, and nothing will be. */
	| 'neverSent'
	/** Sent, and the answer is awaited. */
	| 'inFlight'
	/** Sent, and no longer awaited. */
	| 'ended'
	/** The daemon no longer remembers; it may have been sent. */
	| 'forgotten'
	| 'unreachable';

/** Asks other daemons about their claims. */
export type HolderPort = {
	killNonce(holder: Holder, nonce: string): Promise<KillVerdict>;
};

/** Limits from the policy. */
export type OnceLimits = {
	readonly keepSeconds: number;
	readonly maxTableAnswerBytes: number;
	readonly maxAnswerBytes: number;
};
