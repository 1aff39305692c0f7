/**
 * Rules for long requests that are compared with the one in use.
 */
import {ReservingSlotAllocator, type SlotAllocator} from '../../src/admission/slot-allocator.ts';
import {type AdmissionRequest, type MonotonicClock} from '../../src/admission/types.ts';

export const laneKinds = ['priority', 'lanes', 'sizeOrder', 'slack', 'reserve'] as const;
export type LaneKind = (typeof laneKinds)[number];

type SlotCounts = {short: number; long: number};

/** Rule made of two functions; it counts the slots. */
function createRule(
	slots: number,
	longSlots: number,
	canStart: (counts: SlotCounts) => boolean,
	isLongFirst: (short: AdmissionRequest, long: AdmissionRequest) => boolean,
): SlotAllocator {
	const counts: SlotCounts = {short: 0, long: 0};
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
			// The rule keeps no demand.
		},
		setBounds() {
			// The slots of the trial don't change.
		},
	};
}

/** What adaptive deadline assignment needs of one class. */
type ClassTarget = {
	readonly responseMs: number;
	readonly perSecond: number;
	readonly budgetMs: number;
};

const shortTarget: ClassTarget = {responseMs: 50, perSecond: 1000, budgetMs: 500};
const longTarget: ClassTarget = {responseMs: 2000, perSecond: 20, budgetMs: 5000};
const shortServiceMs = 10;
const rateWindowMs = 1000;

/** Counts starts of the last second. */
function createRate(clock: MonotonicClock): {record(): void; read(): number} {
	const starts: number[] = [];
	return {
		record() {
			starts.push(clock.readNowMs());
		},
		read() {
			while (starts.length > 0 && starts[0]! < clock.readNowMs() - rateWindowMs) {
				starts.shift();
			}

			return starts.length;
		},
	};
}

/** Computes the deadline of the head of a queue from its class's rate; none above the target rate. */
function computeDeadlineMs(head: AdmissionRequest, target: ClassTarget, perSecond: number): number {
	if (perSecond > target.perSecond) {
		return Number.POSITIVE_INFINITY;
	}

	const arrivedAtMs = head.deadlineAtMs - target.budgetMs;
	return arrivedAtMs + target.responseMs * (perSecond / target.perSecond);
}

/** Slack-stealing EDF with adaptive deadlines, after Nam and Park (ICCS 2005), on several slots. */
function createSlackStealing(slots: number, clock: MonotonicClock): SlotAllocator {
	const shortRate = createRate(clock);
	const longRate = createRate(clock);
	const rule = createRule(
		slots,
		slots,
		() => true,
		(short, long) => {
			const shortAtMs = computeDeadlineMs(short, shortTarget, shortRate.read());
			const longAtMs = computeDeadlineMs(long, longTarget, longRate.read());
			const hasSlack = clock.readNowMs() + shortServiceMs <= shortAtMs - shortServiceMs;
			return hasSlack || longAtMs < shortAtMs;
		},
	);
	return {
		...rule,
		get canStartLong() {
			return rule.canStartLong;
		},
		get longInUse() {
			return rule.longInUse;
		},
		get shortInUse() {
			return rule.shortInUse;
		},
		get longSlots() {
			return rule.longSlots;
		},
		recordStart(sizeClass) {
			rule.recordStart(sizeClass);
			(sizeClass === 'short' ? shortRate : longRate).record();
		},
	};
}

/**
 * Creates a rule of a kind.
 *
 * @example
 * const lane = createLane('lanes', 20, 0.5, clock);
 */
export function createLane(
	kind: LaneKind,
	slots: number,
	longShare: number,
	clock: MonotonicClock,
): SlotAllocator {
	const share = Math.floor(slots * longShare);
	const byDeadline = (short: AdmissionRequest, long: AdmissionRequest) =>
		long.deadlineAtMs < short.deadlineAtMs;
	switch (kind) {
		case 'priority': {
			return createRule(slots, slots, () => true, byDeadline);
		}

		case 'lanes': {
			return createRule(slots, share, counts => counts.long < share, byDeadline);
		}

		case 'sizeOrder': {
			return createRule(
				slots,
				slots,
				() => true,
				() => false,
			);
		}

		case 'slack': {
			return createSlackStealing(slots, clock);
		}

		case 'reserve': {
			return ReservingSlotAllocator.create(slots, longShare);
		}
	}
}
