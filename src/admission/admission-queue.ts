/**
 * Queue class for p-queue: orders by importance, then by deadline, with a separate queue for long requests.
 */
import {type Queue, type QueueAddOptions} from 'p-queue';
import {type Importance} from '../call/types.ts';
import {assertInvariant} from './errors.ts';
import {type SlotAllocator} from './slot-allocator.ts';
import {SizeClassQueue} from './size-class-queue.ts';
import {type AdmissionRequest} from './types.ts';
import {type TrackedRequest} from './tracked-request.ts';

type RunFunction = () => Promise<unknown>;

/** Options for adding a request to p-queue. */
export type AdmissionQueueOptions = QueueAddOptions & {readonly trackedRequest?: TrackedRequest};

/**
 * Orders waiting requests and hides from p-queue those that may not start yet.
 *
 * The constructor is public because p-queue constructs the queue.
 */
export class AdmissionQueue implements Queue<RunFunction, AdmissionQueueOptions> {
	readonly #short = SizeClassQueue.create();
	readonly #long = SizeClassQueue.create();
	readonly #runFunctions = new Map<TrackedRequest, RunFunction>();

	readonly #slotAllocator: SlotAllocator;

	constructor(slotAllocator: SlotAllocator) {
		this.#slotAllocator = slotAllocator;
	}

	/** Number of waiting requests visible to p-queue, which starts none while it is 0. */
	get size(): number {
		return this.#slotAllocator.canStartLong ? this.#runFunctions.size : this.#short.size;
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
		const tracked = options?.trackedRequest;
		assertInvariant(tracked !== undefined, () => 'task was queued without its request');
		this.#findQueue(tracked).add(tracked);
		this.#runFunctions.set(tracked, run);
	}

	dequeue(): RunFunction | undefined {
		const tracked = this.#findNext();
		if (tracked === undefined) {
			return undefined;
		}

		const run = this.#runFunctions.get(tracked);
		this.remove(tracked);
		return run;
	}

	/** Removes a request; returns false when it is not waiting. */
	remove(tracked: TrackedRequest): boolean {
		this.#runFunctions.delete(tracked);
		return this.#findQueue(tracked).remove(tracked);
	}

	/** Finds the newest request of the lowest waiting importance, preferring the given size class. */
	findRequestToShed(sizeClass: 'short' | 'long'): TrackedRequest | undefined {
		const least = this.findLeastImportance();
		if (least === undefined) {
			return undefined;
		}

		const [first, second] =
			sizeClass === 'short' ? [this.#short, this.#long] : [this.#long, this.#short];
		return first.findNewest(least) ?? second.findNewest(least);
	}

	/** Finds the lowest importance among the waiting requests. */
	findLeastImportance(): Importance | undefined {
		const short = this.#short.findLeastImportance();
		const long = this.#long.findLeastImportance();
		if (short === undefined || long === undefined) {
			return short ?? long;
		}

		return Math.min(short, long) as Importance;
	}

	/** Finds a request that would miss its deadline, among the first of each importance and size class. */
	findLate(willMissDeadline: (request: AdmissionRequest) => boolean): TrackedRequest | undefined {
		return this.#short.findLate(willMissDeadline) ?? this.#long.findLate(willMissDeadline);
	}

	/** Finds the lowest importance among the waiting long requests. */
	findLeastLongImportance(): Importance | undefined {
		return this.#long.findLeastImportance();
	}

	filter(): RunFunction[] {
		return [...this.#runFunctions.values()];
	}

	setPriority(id: string): void {
		assertInvariant(
			false,
			() => `priority of task "${id}" cannot be set: importance and deadline determine it`,
		);
	}

	#findQueue(tracked: TrackedRequest): SizeClassQueue {
		switch (tracked.sizeClass) {
			case 'short': {
				return this.#short;
			}

			case 'long': {
				return this.#long;
			}
		}
	}

	/** Finds the next request to start; between equally important ones the slot allocator decides the size class. */
	#findNext(): TrackedRequest | undefined {
		const short = this.#short.findNext();
		const long = this.#slotAllocator.canStartLong ? this.#long.findNext() : undefined;
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
 * Creates a queue class that p-queue can construct without arguments.
 *
 * @param onCreate - receives the queue that p-queue constructs
 * @example
 * new PQueue({queueClass: createQueueClass(slotAllocator, queue => { waitingQueue = queue; })});
 */
export function createQueueClass(
	slotAllocator: SlotAllocator,
	onCreate: (queue: AdmissionQueue) => void,
): new () => AdmissionQueue {
	return class extends AdmissionQueue {
		constructor() {
			super(slotAllocator);
			onCreate(this);
		}
	};
}
