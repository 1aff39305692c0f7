/**
 * State of one request in the admission layer, from its arrival until it is shed or releases its slot.
 */
import {type SizeClass} from '../call/types.ts';
import {assertInvariant} from './errors.ts';
import {type AdmissionRequest, type AdmissionDecision} from './types.ts';

type State = 'waiting' | 'running' | 'ended';

/** Tracks the state of one request; each request gets exactly one decision. */
export class TrackedRequest {
	/**
	 * @param sequence - position in the order of arrival
	 * @example
	 * const tracked = TrackedRequest.create(request, 'short', 1, 0);
	 */
	static create(
		request: AdmissionRequest,
		sizeClass: SizeClass,
		sequence: number,
		arrivedAtMs: number,
	): TrackedRequest {
		return new TrackedRequest(request, sizeClass, sequence, arrivedAtMs);
	}

	/** Resolves when the request is admitted or shed. */
	readonly decision: Promise<AdmissionDecision>;
	#state: State = 'waiting';
	#resolveDecision!: (decision: AdmissionDecision) => void;
	#resolveSlot: (() => void) | undefined;

	private constructor(
		readonly request: AdmissionRequest,
		readonly sizeClass: SizeClass,
		readonly sequence: number,
		readonly arrivedAtMs: number,
	) {
		this.decision = new Promise(resolve => {
			this.#resolveDecision = resolve;
		});
	}

	get isWaiting(): boolean {
		return this.#state === 'waiting';
	}

	get isRunning(): boolean {
		return this.#state === 'running';
	}

	/** Admits the request to a slot; resolves when the slot is released. */
	async acquireSlot(): Promise<void> {
		this.#assertState('waiting');
		this.#state = 'running';
		this.#resolveDecision({kind: 'admitted'});
		return new Promise(resolve => {
			this.#resolveSlot = resolve;
		});
	}

	/** Refuses the waiting request. */
	shed(reason: (AdmissionDecision & {kind: 'shed'})['reason']): void {
		this.#assertState('waiting');
		this.#state = 'ended';
		this.#resolveDecision({kind: 'shed', reason});
	}

	/** Releases the slot and resolves the promise of `acquireSlot`. */
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
