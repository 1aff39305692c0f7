/**
 * Types of the choice of a server for a call.
 */
import {type GuardReport, type Importance, type NotRunReason} from '../call/types.ts';
import {type Member} from '../membership/types.ts';
import {type Policy} from '../policy/schema.ts';

export type RouteRequest = {
	readonly service: string;
	readonly importance: Importance;
	/** Services further down that the call is known to need. */
	readonly needs: readonly string[];
	/** Bytes that the call is expected to move over a region link. */
	readonly expectedBytes: number;
	/** Names of servers that were tried before. */
	readonly excluded: ReadonlySet<string>;
	/** When set, only this daemon instance may be chosen. */
	readonly onlyInstanceId?: string;
};

export type RouteChoice =
	| {readonly kind: 'server'; readonly member: Member}
	| {readonly kind: 'refused'; readonly reason: NotRunReason};

/** What the router learns from one attempt. */
export type AttemptResult = {
	readonly member: Member;
	/** Name of the policy's call rule; latencies are compared within one. */
	readonly callName: string;
	readonly kind: 'answered' | 'refused' | 'failed' | 'unreachable' | 'cancelled';
	/** Milliseconds from sending to the answer's head. */
	readonly latencyMs: number;
	readonly bytes: number;
	readonly report?: GuardReport;
};

/** Chooses servers for the calls of one daemon. Times are milliseconds of the monotonic clock. */
export type Router = {
	setMembers(members: readonly Member[], nowMs: number): void;
	applyPolicy(policy: Policy): void;
	choose(request: RouteRequest, nowMs: number): RouteChoice;
	/** Counts an attempt as in flight. */
	recordStart(member: Member, nowMs: number): void;
	recordResult(result: AttemptResult, nowMs: number): void;
	/** Milliseconds after which an idempotent call may be hedged. */
	readHedgeDelayMs(service: string, callName: string): number | undefined;
	/** Milliseconds that an answer usually takes; 0 until measured. */
	readUsualMs(service: string, callName: string): number;
	/** Whether most attempts at a service are refused for overload at present. */
	isOverloaded(service: string, nowMs: number): boolean;
	/** Counts the servers of a service that a call has not tried. */
	countUntried(service: string, excluded: ReadonlySet<string>): number;
	/** Counts the servers of a service that are ejected or on trial. */
	countEjected(service: string): number;
};
