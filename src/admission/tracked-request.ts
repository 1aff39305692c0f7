/**
 * One request under admission control, from its arrival to its verdict and the end of its slot.
 */
import {type SizeClass} from '../call/types.ts';
import {assertInvariant} from './errors.ts';
import {type AdmissionRequest, type AdmissionDecision} from './types.ts';

type State = 'waiting' | 'running' | 'ended';

/** Tracks the state of one request; each request gets exactly one verdict. */
export class TrackedRequest {
	/**
	 * @param sequence - position in the order of arrival
	 * @example
	 * const waiting = WaitingRequest.create(request, 'short', 1, 0);
	 */
	static create(
		request: AdmissionRequest,
		sizeClass: SizeClass,
		sequence: number,
		arrivedAtMs: number,
	): TrackedRequest {
		return new TrackedRequest(request, sizeClass, sequence, arrivedAtMs);
	}

	/** Resolves with the verdict. */
	readonly decision: Promise<AdmissionDecision>;
	#state: State = 'waiting';
	#resolveDecision!: (verdict: AdmissionDecision) => void;
	#resolveSlot: (() => void) | undefined;

	private constructor(
		readonly request: AdmissionRequest,
		readonly sizeClass: SizeClass,
		readonly sequence: number,
		readonly arrivedAtMs: number,
	) {
		this.decision = new Promise(answer => {
			this.#resolveDecision = answer;
		});
	}

	get isWaiting(): boolean {
		return this.#state === 'waiting';
	}

	get isRunning(): boolean {
		return this.#state === 'running';
	}

	/** Gives the request a slot; resolves once the slot is released. */
	async acquireSlot(): Promise<void> {
		this.#assertState('waiting');
		this.#state = 'running';
		this.#resolveDecision({kind: 'admitted'});
		return new Promise(endSlot => {
			this.#resolveSlot = endSlot;
		});
	}

	/** Refuses the request while it waits. */
	shed(reason: (AdmissionDecision & {kind: 'shed'})['reason']): void {
		this.#assertState('waiting');
		this.#state = 'ended';
		this.#resolveDecision({kind: 'shed', reason});
	}

	/** Gives the slot back. */
	releaseSlot(): void {
		this.#assertState('running');
		this.#state = 'ended';
		this.#resolveSlot?.();
	}

	#assertState(expected: State): void {
		assertInvariant(
			this.#state === expected,
			() => `attempt "${this.request.attemptId}" is ${this.#state}, expected ${expected}`,
		);
	}
}
