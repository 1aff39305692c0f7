/**
 * Slot allocators for short and long requests that the admission trial compares with the one in use.
 */
import {ReservingSlotAllocator, type SlotAllocator} from '../../src/admission/slot-allocator.ts';
import {type AdmissionRequest, type MonotonicClock} from '../../src/admission/types.ts';

export const allocatorKinds = ['priority', 'lanes', 'sizeOrder', 'slack', 'reserve'] as const;
export type AllocatorKind = (typeof allocatorKinds)[number];

type SlotsInUse = {short: number; long: number};

/** Creates an allocator that counts the slots in use and decides by two functions. */
function createCountingAllocator(
	slots: number,
	longSlots: number,
	canStart: (counts: SlotsInUse) => boolean,
	isLongFirst: (short: AdmissionRequest, long: AdmissionRequest) => boolean,
): SlotAllocator {
	const counts: SlotsInUse = {short: 0, long: 0};
	return {
		get canStartLong() {
			return canStart(counts);
		},
		get longInUse() {
			return counts.long;
		},
		get shortInUse() {
			return counts.short;
		},
		get longSlots() {
			return Math.min(slots, longSlots);
		},
		isLongFirst,
		recordEnd(sizeClass) {
			counts[sizeClass]--;
		},
		recordStart(sizeClass) {
			counts[sizeClass]++;
		},
		recordShortDemand() {
			// These allocators don't depend on the demand of short requests.
		},
		setBounds() {
			// The number of slots is constant in a trial.
		},
	};
}

/** Parameters of adaptive deadline assignment for one size class. */
type ClassTarget = {
	readonly responseMs: number;
	readonly startsPerSecond: number;
	/** Time from arrival to the request's own deadline. */
	readonly budgetMs: number;
};

const shortTarget: ClassTarget = {responseMs: 50, startsPerSecond: 1000, budgetMs: 500};
const longTarget: ClassTarget = {responseMs: 2000, startsPerSecond: 20, budgetMs: 5000};
const shortServiceMs = 10;
const rateWindowMs = 1000;

/** Creates a counter of the requests started during the last second. */
function createStartCounter(clock: MonotonicClock): {record(): void; countRecent(): number} {
	const starts: number[] = [];
	return {
		record() {
			starts.push(clock.readNowMs());
		},
		countRecent() {
			while (starts.length > 0 && starts[0]! < clock.readNowMs() - rateWindowMs) {
				starts.shift();
			}

			return starts.length;
		},
	};
}

/**
 * Computes the assigned deadline of the request at the head of a queue from the start rate of its
 * class. Above the target rate there is no deadline (infinity).
 */
function computeDeadlineAtMs(
	head: AdmissionRequest,
	target: ClassTarget,
	startsPerSecond: number,
): number {
	if (startsPerSecond > target.startsPerSecond) {
		return Number.POSITIVE_INFINITY;
	}

	const arrivedAtMs = head.deadlineAtMs - target.budgetMs;
	return arrivedAtMs + target.responseMs * (startsPerSecond / target.startsPerSecond);
}

/**
 * Slack-stealing EDF (earliest deadline first) with adaptive deadlines, after Nam and Park (ICCS
 * 2005), extended to several slots.
 */
function createSlackStealingAllocator(slots: number, clock: MonotonicClock): SlotAllocator {
	const shortStarts = createStartCounter(clock);
	const longStarts = createStartCounter(clock);
	const allocator = createCountingAllocator(
		slots,
		slots,
		() => true,
		(short, long) => {
			const shortDeadlineAtMs = computeDeadlineAtMs(short, shortTarget, shortStarts.countRecent());
			const longDeadlineAtMs = computeDeadlineAtMs(long, longTarget, longStarts.countRecent());
			const hasSlack = clock.readNowMs() + shortServiceMs <= shortDeadlineAtMs - shortServiceMs;
			return hasSlack || longDeadlineAtMs < shortDeadlineAtMs;
		},
	);
	return {
		...allocator,
		get canStartLong() {
			return allocator.canStartLong;
		},
		get longInUse() {
			return allocator.longInUse;
		},
		get shortInUse() {
			return allocator.shortInUse;
		},
		get longSlots() {
			return allocator.longSlots;
		},
		recordStart(sizeClass) {
			allocator.recordStart(sizeClass);
			(sizeClass === 'short' ? shortStarts : longStarts).record();
		},
	};
}

/**
 * Creates a slot allocator of the given kind.
 *
 * @param longShare - share of the slots for long requests, used by `lanes` and `reserve`
 * @example
 * const slotAllocator = createSlotAllocator('lanes', 20, 0.5, clock);
 */
export function createSlotAllocator(
	kind: AllocatorKind,
	slots: number,
	longShare: number,
	clock: MonotonicClock,
): SlotAllocator {
	const maxLongSlots = Math.floor(slots * longShare);
	const isLongDeadlineEarlier = (short: AdmissionRequest, long: AdmissionRequest) =>
		long.deadlineAtMs < short.deadlineAtMs;
	switch (kind) {
		case 'priority': {
			return createCountingAllocator(slots, slots, () => true, isLongDeadlineEarlier);
		}

		case 'lanes': {
			return createCountingAllocator(
				slots,
				maxLongSlots,
				counts => counts.long < maxLongSlots,
				isLongDeadlineEarlier,
			);
		}

		case 'sizeOrder': {
			return createCountingAllocator(
				slots,
				slots,
				() => true,
				() => false,
			);
		}

		case 'slack': {
			return createSlackStealingAllocator(slots, clock);
		}

		case 'reserve': {
			return ReservingSlotAllocator.create(slots, longShare);
		}
	}
}
