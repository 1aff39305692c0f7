/**
 * Logs one line per request and counts requests for the metrics. The log is rate limited, with separate limits
 * so that served requests don't displace the lines about failures.
 */
import {type Logger} from '../../reporting/logger.ts';
import {type Scheduler} from '../scheduling/scheduler.ts';

/** Result of one request at the entry. */
export type RequestRecord = {
	readonly requestId: string;
	/** Empty when the configuration has no route for the request. */
	readonly route: string;
	/**
	 * Path of a request without a route, empty otherwise. It is logged but not a metric label, since callers can
	 * choose any number of paths.
	 */
	readonly path: string;
	readonly service: string;
	/** Service of this instance, which the backend server is told. */
	readonly callerService: string;
	/** 0 when the caller disconnected or the answer was truncated. */
	readonly status: number;
	readonly outcome: string;
	readonly tookMs: number;
	readonly sends: number;
	readonly arrivals: number;
	readonly lastReason: string;
	readonly lastInstance: string;
	readonly serverId: string;
	readonly configVersion: number;
	readonly deadlineMs: number;
	/** Identifies requests that come again; empty without a route. */
	readonly digest: string;
	/** Age of the overload report behind the admission decision; -1 without one. */
	readonly reportAgeMs: number;
};

/** How far a request had got when its caller left; `unread` before the entry had read it. */
export type CancelledPhase = 'unread' | 'waiting' | 'running';

/** A request that a guard refused, or that failed at the local server. */
export type GuardFailureRecord = {
	readonly requestId: string;
	readonly route: string;
	readonly callerService: string;
	readonly reason: string;
	/** Whether the server may have run the request. */
	readonly mayHaveRun: boolean;
	/** Time since the arrival at the guard. */
	readonly afterMs: number;
	readonly remainingMs: number;
	readonly running: number;
	readonly waiting: number;
	readonly limit: number;
};

/** A request whose caller left while it waited in the guard or ran at the local server. */
export type CancellationRecord = Pick<
	GuardFailureRecord,
	'requestId' | 'route' | 'callerService' | 'afterMs'
> & {readonly phase: CancelledPhase};

/** Limit of lines about served requests. It is the lowest, so that these are dropped first. */
const maxServedLinesPerSecond = 2;
/** Limit of lines about requests that were refused or failed at the entry. */
const maxFailedLinesPerSecond = 20;
/** Limit of lines about requests that the guard refused, that failed at the local server or were cancelled. */
const maxGuardFailureLinesPerSecond = 10;
/** Digests in the line about a server that has ended. */
const maxLoggedSuspects = 32;
/** Upper bounds of the latency buckets. */
export const latencyBucketsMs = [5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000] as const;

/** Requests of one route with one status; `buckets` holds cumulative counts by `latencyBucketsMs`. */
export type RequestCount = {
	readonly route: string;
	readonly status: number;
	count: number;
	readonly buckets: number[];
};

export class RequestLog {
	/**
	 * @example
	 * const log = RequestLog.create(logger, scheduler);
	 */
	static create(
		logger: Logger,
		scheduler: Pick<Scheduler, 'lag' | 'callerAcceptQueue'>,
	): RequestLog {
		return new RequestLog(logger, scheduler);
	}

	readonly counts = new Map<string, RequestCount>();
	/** Requests whose caller left, by the phase that they were in. */
	readonly cancelledCounts: Record<CancelledPhase, number> = {unread: 0, waiting: 0, running: 0};
	/** Requests that the guard passed over to other servers, since its own names a limit. */
	limitedCount = 0;
	/** Requests that the guard refused since this process was too busy to start them in time. */
	busyCount = 0;
	/** Ends of the local server while it ran requests. */
	crashCount = 0;
	/** Lines dropped by the limits since the start. */
	droppedLineCount = 0;
	#second = 0;
	#servedLineCount = 0;
	#failedLineCount = 0;
	#guardFailureLineCount = 0;
	#reportedDropCount = 0;

	private constructor(
		private readonly logger: Logger,
		private readonly scheduler: Pick<Scheduler, 'lag' | 'callerAcceptQueue'>,
	) {}

	/** Counts and logs an end of the local server; each of the requests that ran may have caused it. */
	recordCrash(serverId: string, digests: ReadonlySet<string>): void {
		this.crashCount++;
		const suspects = [...digests].slice(0, maxLoggedSuspects).join(' ');
		const fields = {serverId, running: digests.size, suspects};
		this.logger.warn(fields, 'local server ended while it ran requests');
	}

	/** Counts and logs the result of a request at the entry. */
	recordRequest(record: RequestRecord): void {
		this.#updateCounts(record);
		this.#resetLimits();
		const isServed = record.status >= 200 && record.status < 400;
		if (!this.#consumeLine(isServed)) {
			this.droppedLineCount++;
			return;
		}

		const fields = {
			...record,
			tookMs: Math.round(record.tookMs),
			...this.#readInputDelays(),
		};
		if (isServed) {
			this.logger.info(fields, 'request served');
		} else {
			this.logger.warn(fields, 'request not served');
		}
	}

	/** Logs a request that the guard of this instance refused, or that failed at the local server. */
	recordGuardFailure(record: GuardFailureRecord): void {
		if (record.reason === 'limited') {
			// Another server gets the request.
			this.limitedCount++;
			return;
		}

		if (record.reason === 'busy') {
			this.busyCount++;
		}

		if (this.#consumeGuardLine()) {
			this.logger.warn(
				{...record, ...this.#readInputDelays()},
				record.mayHaveRun
					? 'request failed at the server and may have run'
					: 'request refused by the guard',
			);
		}
	}

	/** Counts and logs a request that the guard of this instance ended since its caller had left. */
	recordCancellation(record: CancellationRecord): void {
		const {requestId, route, callerService, afterMs, phase} = record;
		this.cancelledCounts[phase]++;
		if (this.#consumeGuardLine()) {
			const fields = {requestId, route, callerService, afterMs, phase, ...this.#readInputDelays()};
			this.logger.info(fields, 'request cancelled');
		}
	}

	#readInputDelays(): {loopLagMs: number; acceptWaitMs: number} {
		const {lag, callerAcceptQueue} = this.scheduler;
		return {
			loopLagMs: Math.round(lag.readLagMs(performance.now())),
			acceptWaitMs: Math.round(callerAcceptQueue.readWaitMs()),
		};
	}

	/** Counts a line of the guard against its limit and returns whether it may be logged. */
	#consumeGuardLine(): boolean {
		this.#resetLimits();
		const isAllowed = this.#guardFailureLineCount++ < maxGuardFailureLinesPerSecond;
		this.droppedLineCount += isAllowed ? 0 : 1;
		return isAllowed;
	}

	/** Counts a line against its limit and returns whether it may be logged. */
	#consumeLine(isServed: boolean): boolean {
		if (isServed) {
			return this.#servedLineCount++ < maxServedLinesPerSecond;
		}

		return this.#failedLineCount++ < maxFailedLinesPerSecond;
	}

	/** Resets the limits at the start of a second and logs how many lines were dropped. */
	#resetLimits(): void {
		const second = Math.floor(performance.now() / 1000);
		if (second === this.#second) {
			return;
		}

		if (this.droppedLineCount > this.#reportedDropCount) {
			this.logger.info(
				{dropped: this.droppedLineCount - this.#reportedDropCount},
				'request log lines dropped by the rate limit',
			);
			this.#reportedDropCount = this.droppedLineCount;
		}

		this.#second = second;
		this.#servedLineCount = 0;
		this.#failedLineCount = 0;
		this.#guardFailureLineCount = 0;
	}

	#updateCounts(record: RequestRecord): void {
		const key = `${record.status} ${record.route}`;
		let requestCount = this.counts.get(key);
		if (requestCount === undefined) {
			const buckets = latencyBucketsMs.map(() => 0);
			requestCount = {route: record.route, status: record.status, count: 0, buckets};
			this.counts.set(key, requestCount);
		}

		requestCount.count++;
		for (const [index, bound] of latencyBucketsMs.entries()) {
			if (record.tookMs <= bound) {
				requestCount.buckets[index]!++;
			}
		}
	}
}
