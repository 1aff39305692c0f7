/**
 * Queue class for p-queue: importance, then deadline, with long requests in a line of their own.
 */
import {type Queue, type QueueAddOptions} from 'p-queue';
import {type Importance} from '../call/types.ts';
import {assertInvariant} from './errors.ts';
import {type LaneRule} from './long-lane.ts';
import {SizeClassQueue} from './size-class-queue.ts';
import {type AdmissionRequest} from './types.ts';
import {type TrackedRequest} from './tracked-request.ts';

type RunFunction = () => Promise<unknown>;

/** Options that a request is added to p-queue with. */
export type AdmissionQueueOptions = QueueAddOptions & {readonly trackedRequest?: TrackedRequest};

/**
 * Orders waiting requests and hides those from p-queue that may not start at present.
 *
 * p-queue constructs it, which is why the constructor is public.
 */
export class AdmissionQueue implements Queue<RunFunction, AdmissionQueueOptions> {
	readonly #short = SizeClassQueue.create();
	readonly #long = SizeClassQueue.create();
	readonly #runFunctions = new Map<TrackedRequest, RunFunction>();

	readonly #slotAllocator: LaneRule;

	constructor(lane: LaneRule) {
		this.#slotAllocator = lane;
	}

	/** Number of requests that may start now; p-queue starts none while it is 0. */
	get size(): number {
		return this.#slotAllocator.canStart ? this.#runFunctions.size : this.#short.size;
	}

	get waitingShortCount(): number {
		return this.#short.size;
	}

	get waitingLongCount(): number {
		return this.#long.size;
	}

	/** Number of all waiting requests. */
	get waitingCount(): number {
		return this.#runFunctions.size;
	}

	enqueue(run: RunFunction, options?: Partial<AdmissionQueueOptions>): void {
		const waiting = options?.trackedRequest;
		assertInvariant(waiting !== undefined, () => 'a job without its request was queued');
		this.#findQueue(waiting).add(waiting);
		this.#runFunctions.set(waiting, run);
	}

	dequeue(): RunFunction | undefined {
		const waiting = this.#findNext();
		if (waiting === undefined) {
			return undefined;
		}

		const run = this.#runFunctions.get(waiting);
		this.remove(waiting);
		return run;
	}

	/** Takes a request out; false when it does not wait. */
	remove(waiting: TrackedRequest): boolean {
		this.#runFunctions.delete(waiting);
		return this.#findQueue(waiting).remove(waiting);
	}

	/** Finds the request to shed first: the newest of the least important, of `line` where both have some. */
	findRequestToShed(line: 'short' | 'long'): TrackedRequest | undefined {
		const least = this.findLeastImportance();
		if (least === undefined) {
			return undefined;
		}

		const [first, second] =
			line === 'short' ? [this.#short, this.#long] : [this.#long, this.#short];
		return first.findNewest(least) ?? second.findNewest(least);
	}

	/** Finds the least importance that waits. */
	findLeastImportance(): Importance | undefined {
		const short = this.#short.findLeastImportance();
		const long = this.#long.findLeastImportance();
		if (short === undefined || long === undefined) {
			return short ?? long;
		}

		return Math.min(short, long) as Importance;
	}

	/** Finds a request that is next of its importance and size class and that `isLate` holds for. */
	findLate(isLate: (request: AdmissionRequest) => boolean): TrackedRequest | undefined {
		return this.#short.findLate(isLate) ?? this.#long.findLate(isLate);
	}

	/** Finds the least importance among the long requests that wait. */
	findLeastLongImportance(): Importance | undefined {
		return this.#long.findLeastImportance();
	}

	filter(): RunFunction[] {
		return [...this.#runFunctions.values()];
	}

	setPriority(id: string): void {
		assertInvariant(false, () => `priority of "${id}" is fixed by its importance and deadline`);
	}

	#findQueue(waiting: TrackedRequest): SizeClassQueue {
		switch (waiting.sizeClass) {
			case 'short': {
				return this.#short;
			}

			case 'long': {
				return this.#long;
			}
		}
	}

	/** Finds the next to start; a long request goes before an equally important short one below its floor only. */
	#findNext(): TrackedRequest | undefined {
		const short = this.#short.findNext();
		const long = this.#slotAllocator.canStart ? this.#long.findNext() : undefined;
		if (short === undefined || long === undefined) {
			return short ?? long;
		}

		if (short.request.importance !== long.request.importance) {
			return short.request.importance > long.request.importance ? short : long;
		}

		return this.#slotAllocator.isLongFirst(short.request, long.request) ? long : short;
	}
}

/**
 * Makes a class that p-queue can construct without arguments.
 *
 * @param onCreate - receives the one queue that p-queue constructs
 * @example
 * new PQueue({queueClass: createQueueClass(lane, queue => { waiting = queue; })});
 */
export function createQueueClass(
	lane: LaneRule,
	onCreate: (queue: AdmissionQueue) => void,
): new () => AdmissionQueue {
	return class extends AdmissionQueue {
		constructor() {
			super(lane);
			onCreate(this);
		}
	};
}
