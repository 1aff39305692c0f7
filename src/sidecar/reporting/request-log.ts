/** One log line for each decision about a request, within a budget that keeps what went wrong. */
import {type Logger} from '../../reporting/logger.ts';

/** What became of one request at the entry. */
export type RequestRecord = {
	readonly requestId: string;
	/** Empty when the configuration has no route for the request. */
	readonly route: string;
	/** What a request without a route asked for; it is logged and never counted by. Empty otherwise. */
	readonly path: string;
	readonly service: string;
	/** 0 when the caller left or the answer was cut short. */
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
	/** Age of the report that the admission went by; -1 when it went by none. */
	readonly reportAgeMs: number;
};

/** Why a guard did not bring a request to an answer. */
export type GuardRecord = {
	readonly requestId: string;
	readonly route: string;
	readonly callerService: string;
	readonly reason: string;
	/** Whether the server may have run it. */
	readonly mayHaveRun: boolean;
	/** Time since the request arrived at the guard. */
	readonly afterMs: number;
	readonly remainingMs: number;
	readonly running: number;
	readonly waiting: number;
	readonly limit: number;
};

/** Lines a second for requests that were served; they are the first to be dropped. */
const maxServedPerSecond = 2;
/** Lines a second for requests that were refused or failed. */
const maxFailedPerSecond = 20;
/** Lines a second of a guard about requests that it refused or lost. */
const maxGuardedPerSecond = 10;
/** Upper bounds of the latency buckets, in milliseconds. */
export const latencyBucketsMs = [5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000] as const;

/** Requests of one route with one status. */
export type RequestCount = {
	readonly route: string;
	readonly status: number;
	count: number;
	readonly buckets: number[];
};

export class RequestLog {
	/**
	 * @example
	 * const log = RequestLog.create(logger);
	 */
	static create(logger: Logger): RequestLog {
		return new RequestLog(logger);
	}

	readonly counts = new Map<string, RequestCount>();
	/** Lines that the budget has dropped so far. */
	dropped = 0;
	#second = 0;
	#served = 0;
	#failed = 0;
	#guarded = 0;
	#droppedBefore = 0;

	private constructor(private readonly logger: Logger) {}

	recordRequest(record: RequestRecord): void {
		this.#count(record);
		this.#startSecond();
		const isServed = record.status >= 200 && record.status < 400;
		if (!this.#takeLine(isServed)) {
			this.dropped++;
			return;
		}

		const fields = {...record, tookMs: Math.round(record.tookMs)};
		if (isServed) {
			this.logger.info(fields, 'request served');
		} else {
			this.logger.warn(fields, 'request not served');
		}
	}

	/** Records a request that this instance's guard refused or lost. */
	recordGuarded(record: GuardRecord): void {
		this.#startSecond();
		if (this.#guarded++ >= maxGuardedPerSecond) {
			this.dropped++;
			return;
		}

		this.logger.warn(record, record.mayHaveRun ? 'request lost at the server' : 'request refused');
	}

	#takeLine(isServed: boolean): boolean {
		if (isServed) {
			return this.#served++ < maxServedPerSecond;
		}

		return this.#failed++ < maxFailedPerSecond;
	}

	#startSecond(): void {
		const second = Math.floor(performance.now() / 1000);
		if (second === this.#second) {
			return;
		}

		if (this.dropped > this.#droppedBefore) {
			this.logger.info({dropped: this.dropped - this.#droppedBefore}, 'request lines dropped');
			this.#droppedBefore = this.dropped;
		}

		this.#second = second;
		this.#served = 0;
		this.#failed = 0;
		this.#guarded = 0;
	}

	#count(record: RequestRecord): void {
		const key = `${record.status} ${record.route}`;
		let counted = this.counts.get(key);
		if (counted === undefined) {
			const buckets = latencyBucketsMs.map(() => 0);
			counted = {route: record.route, status: record.status, count: 0, buckets};
			this.counts.set(key, counted);
		}

		counted.count++;
		for (const [index, bound] of latencyBucketsMs.entries()) {
			if (record.tookMs <= bound) {
				counted.buckets[index]!++;
			}
		}
	}
}
