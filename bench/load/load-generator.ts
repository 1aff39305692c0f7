/**
 * Open-loop load generator: arrivals follow a seeded Poisson process that does not depend on the
 * answers.
 */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Pool} from 'undici';
import {type CallKind, type CallSample} from './types.ts';

export type LoadOptions = {
	readonly ports: readonly number[];
	readonly seed: number;
	readonly kinds: readonly CallKind[];
	readonly durationMs: number;
	/** Computes the factor on all rates at a time in milliseconds since the start; 1 by default. */
	readonly computeRateFactor?: (atMs: number) => number;
};

export type LoadResult = {
	readonly samples: readonly CallSample[];
	/** 99th percentile of the delay between due time and first send, in milliseconds. */
	readonly lateP99Ms: number;
};

type Arrival = {readonly kind: CallKind; readonly dueAtMs: number; readonly port: number};

const defaultTimeoutMs = 5000;
const clientRetryDelayMs = 20;

/**
 * Generates the arrivals of one kind of call as a Poisson process. The rate of each interval is the
 * one at its start; while the rate is 0, time advances in steps of 10 ms.
 */
function generateArrivals(options: LoadOptions, kind: CallKind, seed: number): Arrival[] {
	const random = xoroshiro128plus(seed);
	const computeFactor = options.computeRateFactor ?? (() => 1);
	const arrivals: Arrival[] = [];
	let atMs = 0;
	for (;;) {
		const rate = kind.ratePerSecond * computeFactor(atMs);
		if (rate <= 0) {
			atMs += 10;
		} else {
			atMs -= (Math.log(1 - uniformFloat64(random)) / rate) * 1000;
		}

		if (atMs >= options.durationMs) {
			return arrivals;
		}

		const port = options.ports[Math.floor(uniformFloat64(random) * options.ports.length)] ?? 0;
		if (rate > 0) {
			arrivals.push({kind, dueAtMs: atMs, port});
		}
	}
}

/** Sends a load and collects the result of each call. */
export class LoadGenerator {
	/**
	 * @example
	 * const result = await LoadGenerator.create(options).run();
	 */
	static create(options: LoadOptions): LoadGenerator {
		return new LoadGenerator(options);
	}

	readonly #options: LoadOptions;
	readonly #pools = new Map<number, Pool>();
	readonly #samples: CallSample[] = [];
	readonly #sendDelaysMs: number[] = [];
	#startedAtMs = 0;

	private constructor(options: LoadOptions) {
		this.#options = options;
		for (const port of options.ports) {
			this.#pools.set(port, new Pool(`http://127.0.0.1:${port}`, {pipelining: 1}));
		}
	}

	/** Sends all calls at their due times and waits until the last one has ended. */
	async run(): Promise<LoadResult> {
		const arrivals = this.#options.kinds.flatMap((kind, index) =>
			generateArrivals(this.#options, kind, this.#options.seed + index),
		);
		arrivals.sort((a, b) => a.dueAtMs - b.dueAtMs);
		this.#startedAtMs = performance.now();
		const calls: Array<Promise<void>> = [];
		for (const arrival of arrivals) {
			const untilDueMs = arrival.dueAtMs - this.#readElapsedMs();
			if (untilDueMs > 1) {
				await wait(untilDueMs);
			}

			this.#sendDelaysMs.push(Math.max(0, this.#readElapsedMs() - arrival.dueAtMs));
			calls.push(this.#performCall(arrival));
		}

		await Promise.all(calls);
		const pools = [...this.#pools.values()];
		await Promise.all(pools.map(async pool => pool.destroy()));
		return {samples: this.#samples, lateP99Ms: computeQuantile(this.#sendDelaysMs, 0.99)};
	}

	#readElapsedMs(): number {
		return performance.now() - this.#startedAtMs;
	}

	/** Sends a call, and sends it again until it succeeds or the retries of its kind are used up. */
	async #performCall(arrival: Arrival): Promise<void> {
		const {kind} = arrival;
		const idempotencyKey = kind.hasIdempotencyKey ? randomUUID() : undefined;
		const maxSendCount = 1 + (kind.clientRetries ?? 0);
		for (let sendCount = 1; ; sendCount++) {
			const answer = await this.#send(arrival, idempotencyKey);
			if (answer.result === 'whole' || sendCount >= maxSendCount) {
				const endedAtMs = this.#readElapsedMs();
				this.#samples.push({
					...answer,
					kind: kind.name,
					dueAtMs: arrival.dueAtMs,
					endedAtMs,
					latencyMs: endedAtMs - arrival.dueAtMs,
					sendCount,
				});
				return;
			}

			await wait(clientRetryDelayMs);
		}
	}

	/** Sends a call once; errors and timeouts of the client become a failed result. */
	async #send(arrival: Arrival, idempotencyKey: string | undefined) {
		const {kind, port} = arrival;
		try {
			const answer = await this.#pools.get(port)!.request({
				method: kind.method,
				path: kind.path,
				headers: {
					...(kind.token === undefined ? {} : {authorization: `Bearer ${kind.token}`}),
					...(idempotencyKey === undefined ? {} : {'idempotency-key': idempotencyKey}),
				},
				body: kind.body ?? null,
				signal: AbortSignal.timeout(kind.timeoutMs ?? defaultTimeoutMs),
			});
			await answer.body.dump({limit: Number.MAX_SAFE_INTEGER});
			const outcome = String(answer.headers['primrosevalve-outcome'] ?? 'answered');
			return {
				result: classifyResult(answer.statusCode, outcome),
				status: answer.statusCode,
				outcome,
				reason: String(answer.headers['primrosevalve-reason'] ?? ''),
				version: Number(answer.headers['primrosevalve-version'] ?? 0),
			};
		} catch {
			return {result: 'failed' as const, status: 0, outcome: 'none', reason: 'client', version: 0};
		}
	}
}

function classifyResult(status: number, outcome: string): CallSample['result'] {
	if (status < 500 && outcome === 'answered') {
		return 'whole';
	}

	return outcome === 'notRun' ? 'shed' : 'failed';
}

/**
 * Computes a quantile by sorting the values.
 *
 * @returns 0 when there are no values
 * @example
 * computeQuantile([3, 1, 2], 0.5); // 2
 */
export function computeQuantile(values: readonly number[], quantile: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	const index = Math.min(sorted.length - 1, Math.floor(sorted.length * quantile));
	return sorted[index] ?? 0;
}
