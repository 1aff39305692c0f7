/**
 * Types of the service-level burn report.
 */

/** Counters of one daemon for one service and caller, as read at one time. */
export type CounterSample = {
	/** Wall time of the reading in milliseconds. */
	readonly atMs: number;
	readonly server: string;
	/** Changes with every start of the daemon; counters start again from zero. */
	readonly instanceId: string;
	/** Wall time of the daemon's start in milliseconds. */
	readonly startedAtMs: number;
	readonly service: string;
	readonly caller: string;
	/** Calls that ended since the start. */
	readonly total: number;
	/** Calls that got a whole answer in time since the start. */
	readonly good: number;
};

/** Calls that ended between two readings of the daemons' counters. */
export type CountRow = {
	readonly kind: 'calls';
	readonly fromMs: number;
	readonly toMs: number;
	readonly service: string;
	readonly caller: string;
	readonly total: number;
	readonly good: number;
	/** False when the readings are too far apart to tell when in between the calls ended. */
	readonly isResolved: boolean;
};

/** Time between two readings that are close enough to cover it. */
export type ReadingRow = {
	readonly kind: 'reading';
	readonly fromMs: number;
	readonly toMs: number;
	/** Share of the known daemons that answered the later reading. */
	readonly coveredShare: number;
};

/** What is kept of the readings. */
export type BurnRow = CountRow | ReadingRow;

/** Counters read at one time from the daemons that answered. */
export type CounterReading = {
	readonly atMs: number;
	/** Daemons that were asked. */
	readonly known: number;
	/** Daemons that answered. */
	readonly answered: number;
	readonly samples: readonly CounterSample[];
};

/** Calls of a window, or why there are none. */
export type WindowCounts =
	/** No counters were read in the window. */
	| {readonly kind: 'gap'}
	/** Counters were read and no call ended. */
	| {readonly kind: 'idle'; readonly coveredShare: number}
	| {
			readonly kind: 'measured';
			readonly total: number;
			readonly good: number;
			/** Share of the window's time, and of the daemons in it, for which counters were read. */
			readonly coveredShare: number;
	  };

/** Burn of a window: 1 spends the whole error budget in exactly the objective's window. */
export type WindowBurn = {
	readonly windowMs: number;
	readonly counts: WindowCounts;
	/** Absent for a gap and for a window without calls. */
	readonly burnRate?: number;
};

export type Severity = 'page' | 'ticket';

/** State of one pair of a long and a short window. */
export type PairState =
	| {readonly kind: 'firing'}
	| {readonly kind: 'quiet'}
	/** At least one of the windows has no data. */
	| {readonly kind: 'gap'}
	/** At least one of the windows was read too little to be called quiet. */
	| {readonly kind: 'partial'}
	/** The long window exceeds the objective's window. */
	| {readonly kind: 'unsuited'};

export type PairReport = {
	readonly name: string;
	readonly severity: Severity;
	/** Burn rate above which the pair fires when both windows exceed it. */
	readonly threshold: number;
	readonly short: WindowBurn;
	readonly long: WindowBurn;
	readonly state: PairState;
};

/** Error budget of an objective over its whole window. */
export type BudgetReport =
	| {readonly kind: 'gap'}
	| {
			readonly kind: 'measured';
			readonly total: number;
			readonly failed: number;
			/** Share of the budget that is left; negative when overspent. */
			readonly leftShare: number;
			readonly coveredShare: number;
	  };

/** One hour of the plot; a gap has no burn rate. */
export type HourBurn = {readonly hourStartMs: number; readonly burn: WindowBurn};

export type ObjectiveReport = {
	readonly service: string;
	readonly caller: string;
	readonly target: number;
	readonly windowDays: number;
	readonly budget: BudgetReport;
	readonly pairs: readonly PairReport[];
	readonly hours: readonly HourBurn[];
};

export type BurnReport = {
	readonly atMs: number;
	readonly policyVersion: number;
	readonly objectives: readonly ObjectiveReport[];
};
