/**
 * Types shared by the admission controllers of one backend server.
 */
import {type Importance, type SizeClass} from '../call/types.ts';
import {type ServicePolicy} from '../policy/schema.ts';

/** Source of monotonic time. */
export type MonotonicClock = {
	readNowMs(): number;
};

/** A request for a slot. Times are milliseconds of the monotonic clock. */
export type AdmissionRequest = {
	readonly attemptId: string;
	readonly callName: string;
	readonly importance: Importance;
	readonly sizeClass: SizeClass | 'learned';
	readonly deadlineAtMs: number;
};

/** Whether a request got a slot, or why it was shed. */
export type AdmissionDecision =
	| {readonly kind: 'admitted'}
	| {readonly kind: 'shed'; readonly reason: 'overload' | 'deadline' | 'draining' | 'cancelled'};

/** Outcome of a request that held a slot. */
export type SlotResult = {
	readonly kind: 'answered' | 'failed' | 'cancelled';
	/** Service time at the backend server in milliseconds. */
	readonly serviceMs: number;
};

/** State of an admission controller at the time of the call. */
export type AdmissionReport = {
	/** Lowest importance that is currently admitted. */
	readonly admissionLevel: Importance;
	readonly slotsInUse: number;
	readonly slotLimit: number;
	readonly queued: number;
};

/** Decides for one guard which requests get a slot at the backend server, and when. */
export type AdmissionController = {
	/** Resolves when the request gets a slot or is shed. */
	admit(request: AdmissionRequest): Promise<AdmissionDecision>;
	/** Removes a waiting request from the queue; no effect on a request that holds a slot. */
	cancel(attemptId: string): void;
	/** Releases the slot of an admitted request. */
	release(attemptId: string, result: SlotResult): void;
	/** Applies a new policy to waiting and future requests. */
	applyPolicy(policy: ServicePolicy): void;
	readReport(): AdmissionReport;
};
