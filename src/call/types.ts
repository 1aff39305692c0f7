/**
 * Types of a call, its outcome and the guard's report, as passed from hop to hop.
 */

/** Importance levels, in the order in which overload sheds them. */
export const importance = {
	background: 0,
	low: 1,
	normal: 2,
	high: 3,
	critical: 4,
} as const;

export type ImportanceName = keyof typeof importance;

/** Numeric importance; higher values are shed later. */
export type Importance = (typeof importance)[ImportanceName];

/** How long a call holds a slot, relative to other calls of its service. */
export type SizeClass = 'short' | 'long';

/** Context of a call; the entry sends it to the guard in headers. */
export type CallContext = {
	/** Identifies the original request; all its child calls and retries have the same id. */
	readonly requestId: string;
	/** Identifies one attempt; an answer with another id is ignored. */
	readonly attemptId: string;
	readonly service: string;
	/** Name of the call rule that matches; `*` if none does. */
	readonly callName: string;
	/** Authenticated caller, or `anonymous`. */
	readonly caller: string;
	readonly importance: Importance;
	/** Time left in milliseconds when this context was created. */
	readonly deadlineMs: number;
	/** Length of the call chain that ends with this call; 1 for a request of a caller. */
	readonly depth: number;
	/** Retries and hedges that this call and its child calls may still use. */
	readonly retryAllowance: number;
	readonly sizeClass: SizeClass;
	/** Whether the call may safely run twice. */
	readonly idempotent: boolean;
	/** Version of the policy that was applied to the call. */
	readonly policyVersion: number;
	/** Set for calls that run at most once. */
	readonly once?: ClaimReference;
};

/** Identifies the claim under which a once call is sent. */
export type ClaimReference = {
	readonly key: string;
	readonly nonce: string;
	/** Digest of the request; distinguishes a repeated request from another one with the same key. */
	readonly fingerprint: string;
};

/** Why a call was refused before any byte reached a backend server. */
export const notRunReasons = {
	overload: 'overload',
	deadline: 'deadline',
	draining: 'draining',
	noServer: 'no-server',
	connect: 'connect',
	badRequest: 'bad-request',
	unknownCall: 'unknown-call',
	claimUnavailable: 'claim-unavailable',
	linkBudget: 'link-budget',
	cancelled: 'cancelled',
	wrongInstance: 'wrong-instance',
	/** The idempotency key was used before for a request with different content. */
	keyMismatch: 'key-mismatch',
	parentEnded: 'parent-ended',
	/** The call chain is longer than the policy allows, for example since services call each other in a cycle. */
	tooDeep: 'too-deep',
} as const;

export type NotRunReason = (typeof notRunReasons)[keyof typeof notRunReasons];

/** Outcome of a call; every call has exactly one. */
export type Outcome =
	| {readonly kind: 'answered'; readonly status: number}
	/** It is certain that no byte of the request reached a backend server, here or further down. */
	| {readonly kind: 'notRun'; readonly reason: NotRunReason}
	/** The request was sent, but no complete answer was received. */
	| {readonly kind: 'unknown'; readonly reason: string}
	/** The server ran the request, which failed. */
	| {readonly kind: 'failed'; readonly reason: string};

/** Whether a guard accepts new calls. */
export type GuardState = 'cold' | 'serving' | 'draining';

/** State and load of a guard, sent with every answer. */
export type GuardReport = {
	readonly server: string;
	/** Differs for each start of the daemon. */
	readonly instanceId: string;
	/** Lowest importance that the guard currently admits. */
	readonly admissionLevel: Importance;
	/** Whether a child call of the answered call was refused for overload. */
	readonly isOverloadedBelow: boolean;
	readonly slotsInUse: number;
	readonly slotLimit: number;
	readonly queued: number;
	readonly state: GuardState;
};
