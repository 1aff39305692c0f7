/**
 * Types of the service-level burn report: counter readings, the rows computed from them, and the report.
 */

/** Counters of one daemon for one service and caller at the time of a reading. */
export type CounterSample = {
	/** Unix time of the reading in milliseconds. */
	readonly atMs: number;
	readonly server: string;
	/** Differs after each start of the daemon, which resets its counters to zero. */
	readonly instanceId: string;
	/** Unix time of the daemon's start in milliseconds. */
	readonly startedAtMs: number;
	readonly service: string;
	readonly caller: string;
	/** Calls that ended since the daemon's start. */
	readonly total: number;
	/** Calls since the daemon's start that got a complete answer within the latency objective. */
	readonly good: number;
};

/** Number of calls that ended between two readings of the daemons' counters. */
export type CallCountRow = {
	readonly kind: 'calls';
	readonly fromMs: number;
	readonly toMs: number;
	readonly service: string;
	readonly caller: string;
	readonly total: number;
	readonly good: number;
	/** False if the readings are too far apart to attribute the calls to a part of the interval. */
	readonly isResolved: boolean;
};

/** Interval between two readings that are close enough for it to count as covered by data. */
export type CoverageRow = {
	readonly kind: 'reading';
	readonly fromMs: number;
	readonly toMs: number;
	/** Fraction of the known daemons that answered at the later reading. */
	readonly coveredShare: number;
};

/** Row that is stored for a reading. */
export type BurnRow = CallCountRow | CoverageRow;

/** Counters of all daemons that answered at one time. */
export type CounterReading = {
	readonly atMs: number;
	/** Number of daemons whose counters were requested. */
	readonly known: number;
	/** Number of daemons that answered. */
	readonly answered: number;
	readonly samples: readonly CounterSample[];
};

/** Number of calls in a window, or the reason why there are none. */
export type WindowCounts =
	/** No counters were read in the window. */
	| {readonly kind: 'gap'}
	/** Counters were read, but no call ended. */
	| {readonly kind: 'idle'; readonly coveredShare: number}
	| {
			readonly kind: 'measured';
			readonly total: number;
			readonly good: number;
			/** Fraction of the window covered by readings, weighted by the fraction of daemons that answered. */
			readonly coveredShare: number;
	  };

/**
 * Burn of the error budget in a window. A burn rate of 1 spends the whole budget in exactly the
 * objective's window.
 */
export type WindowBurn = {
	readonly windowMs: number;
	readonly counts: WindowCounts;
	/** Absent for a window without data or without calls. */
	readonly burnRate?: number;
};

export type Severity = 'page' | 'ticket';

/** Alert state of a pair of a short and a long window. */
export type PairState =
	| {readonly kind: 'firing'}
	| {readonly kind: 'quiet'}
	/** At least one window has no data. */
	| {readonly kind: 'gap'}
	/** The pair does not fire, but at least one window has too little data to rule out an alert. */
	| {readonly kind: 'partial'}
	/** The long window is longer than the objective's window. */
	| {readonly kind: 'unsuited'};

export type PairReport = {
	readonly name: string;
	readonly severity: Severity;
	/** The pair fires when the burn rates of both windows exceed this burn rate. */
	readonly threshold: number;
	readonly short: WindowBurn;
	readonly long: WindowBurn;
	readonly state: PairState;
};

/** Error budget of an objective over the objective's window. */
export type BudgetReport =
	| {readonly kind: 'gap'}
	| {
			readonly kind: 'measured';
			readonly total: number;
			readonly failed: number;
			/** Fraction of the budget that is left; negative if more than the budget was spent. */
			readonly leftShare: number;
			readonly coveredShare: number;
	  };

/** Burn of one hour of the plot. */
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
