/**
 * Types of the router, which selects a server for each attempt of a call.
 */
import {type GuardReport, type Importance, type NotRunReason} from '../call/types.ts';
import {type Member} from '../membership/types.ts';
import {type Policy} from '../policy/schema.ts';

export type RouteRequest = {
	readonly service: string;
	/** Name of the policy's call rule. */
	readonly callName: string;
	readonly importance: Importance;
	/** Downstream services that the call depends on, from the policy's call rule. */
	readonly needs: readonly string[];
	/** Size of the request body; the router reserves the mean size of the kind of call if larger. */
	readonly requestBytes: number;
	/** Names of servers that must not be selected because the call has already tried them. */
	readonly excluded: ReadonlySet<string>;
	/** If set, only this daemon instance may be selected. */
	readonly onlyInstanceId?: string;
};

export type RouteChoice =
	| {readonly kind: 'server'; readonly member: Member}
	| {readonly kind: 'refused'; readonly reason: NotRunReason};

/** Outcome of one attempt, as reported to the router. */
export type AttemptResult = {
	readonly member: Member;
	/** Name of the policy's call rule; latencies are compared only within the same rule. */
	readonly callName: string;
	readonly kind: 'answered' | 'refused' | 'failed' | 'unreachable' | 'cancelled';
	/** Milliseconds from sending the request to receiving the head of the answer. */
	readonly latencyMs: number;
	/** Bytes of the request and the answer together. */
	readonly bytes: number;
	readonly report?: GuardReport;
};

/** Selects servers for the calls of one daemon. Times are milliseconds of the monotonic clock. */
export type Router = {
	setMembers(members: readonly Member[], nowMs: number): void;
	applyPolicy(policy: Policy): void;
	choose(request: RouteRequest, nowMs: number): RouteChoice;
	/** Records that an attempt has been sent and is in flight. */
	recordStart(member: Member, nowMs: number): void;
	recordResult(result: AttemptResult, nowMs: number): void;
	/** Hedge delay of an idempotent call in milliseconds; undefined until enough samples exist. */
	readHedgeDelayMs(service: string, callName: string): number | undefined;
	/** Mean latency in milliseconds of one kind of call; 0 until the first answer. */
	readMeanLatencyMs(service: string, callName: string): number;
	/** Whether most recent attempts at a service were refused for overload. */
	isOverloaded(service: string, nowMs: number): boolean;
	/** Counts the usable servers of a service that are not in `excluded`. */
	countUntried(service: string, excluded: ReadonlySet<string>): number;
	/** Counts the servers of a service that are ejected or in their trial call. */
	countEjected(service: string): number;
};
