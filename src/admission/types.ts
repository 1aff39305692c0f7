/**
 * Types of the admission control in front of one backend server.
 */
import {type Importance, type SizeClass} from '../call/types.ts';
import {type ServicePolicy} from '../policy/schema.ts';

/** Source of monotonic time. */
export type MonotonicClock = {
	readNowMs(): number;
};

/** A request that asks for a slot. Times are milliseconds of the monotonic clock. */
export type AdmissionRequest = {
	readonly attemptId: string;
	readonly callName: string;
	readonly importance: Importance;
	readonly sizeClass: SizeClass | 'learned';
	readonly deadlineAtMs: number;
};

export type AdmissionDecision =
	| {readonly kind: 'admitted'}
	| {readonly kind: 'shed'; readonly reason: 'overload' | 'deadline' | 'draining' | 'cancelled'};

/** How the work in a slot ended. */
export type SlotResult = {
	readonly kind: 'answered' | 'failed' | 'cancelled';
	/** Milliseconds that the backend server took. */
	readonly serviceMs: number;
};

export type AdmissionReport = {
	/** Least importance that is admitted at present. */
	readonly admissionLevel: Importance;
	readonly slotsInUse: number;
	readonly slotLimit: number;
	readonly queued: number;
};

/** Admission control of one guard. */
export type Admission = {
	/** Resolves once the request has a slot or has been shed. */
	admit(request: AdmissionRequest): Promise<AdmissionDecision>;
	/** Takes a waiting request out of the queue; no effect on one that has a slot. */
	cancel(attemptId: string): void;
	/** Gives a slot back. */
	release(attemptId: string, result: SlotResult): void;
	/** Puts a new policy in force for waiting and coming requests. */
	applyPolicy(policy: ServicePolicy): void;
	readReport(): AdmissionReport;
};
