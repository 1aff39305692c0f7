/**
 * Open-loop load: arrivals follow a seeded Poisson process, whatever the answers do.
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
	/** Factor on the rate at a time in milliseconds since the start. */
	readonly rateFactor?: (atMs: number) => number;
};

export type LoadResult = {
	readonly samples: readonly CallSample[];
	/** 99th percentile of how late arrivals were sent, in milliseconds. */
	readonly lateP99Ms: number;
};

type Arrival = {readonly kind: CallKind; readonly dueAtMs: number; readonly port: number};

const defaultTimeoutMs = 5000;
const clientRetryDelayMs = 20;

/** Lists the arrivals of one kind by thinning a Poisson process. */
function listArrivals(options: LoadOptions, kind: CallKind, seed: number): Arrival[] {
	const random = xoroshiro128plus(seed);
	const factor = options.rateFactor ?? (() => 1);
	const arrivals: Arrival[] = [];
	let atMs = 0;
	for (;;) {
		const rate = kind.ratePerSecond * factor(atMs);
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

/** Sends a load and collects what came of each call. */
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
	readonly #lateMs: number[] = [];
	#startedAtMs = 0;

	private constructor(options: LoadOptions) {
		this.#options = options;
		for (const port of options.ports) {
			this.#pools.set(port, new Pool(`http://127.0.0.1:${port}`, {pipelining: 1}));
		}
	}

	/** Runs the whole load and waits for the last call. */
	async run(): Promise<LoadResult> {
		const arrivals = this.#options.kinds.flatMap((kind, index) =>
			listArrivals(this.#options, kind, this.#options.seed + index),
		);
		arrivals.sort((a, b) => a.dueAtMs - b.dueAtMs);
		this.#startedAtMs = performance.now();
		const running: Array<Promise<void>> = [];
		for (const arrival of arrivals) {
			const earlyMs = arrival.dueAtMs - this.#readElapsedMs();
			if (earlyMs > 1) {
				await wait(earlyMs);
			}

			this.#lateMs.push(Math.max(0, this.#readElapsedMs() - arrival.dueAtMs));
			running.push(this.#runCall(arrival));
		}

		await Promise.all(running);
		const pools = [...this.#pools.values()];
		await Promise.all(pools.map(async pool => pool.destroy()));
		return {samples: this.#samples, lateP99Ms: computeQuantile(this.#lateMs, 0.99)};
	}

	#readElapsedMs(): number {
		return performance.now() - this.#startedAtMs;
	}

	/** Sends a call, and again as often as its kind allows. */
	async #runCall(arrival: Arrival): Promise<void> {
		const {kind} = arrival;
		const key = kind.withKey ? randomUUID() : undefined;
		const maxSent = 1 + (kind.clientRetries ?? 0);
		for (let sent = 1; ; sent++) {
			const answer = await this.#send(arrival, key);
			if (answer.result === 'whole' || sent >= maxSent) {
				const endedAtMs = this.#readElapsedMs();
				this.#samples.push({
					...answer,
					kind: kind.name,
					dueAtMs: arrival.dueAtMs,
					endedAtMs,
					latencyMs: endedAtMs - arrival.dueAtMs,
					sent,
				});
				return;
			}

			await wait(clientRetryDelayMs);
		}
	}

	async #send(arrival: Arrival, key: string | undefined) {
		const {kind, port} = arrival;
		try {
			const answer = await this.#pools.get(port)!.request({
				method: kind.method,
				path: kind.path,
				headers: {
					...(kind.token === undefined ? {} : {authorization: `Bearer ${kind.token}`}),
					...(key === undefined ? {} : {'idempotency-key': key}),
				},
				body: kind.body ?? null,
				signal: AbortSignal.timeout(kind.timeoutMs ?? defaultTimeoutMs),
			});
			await answer.body.dump({limit: Number.MAX_SAFE_INTEGER});
			const outcome = String(answer.headers['primrosevalve-outcome'] ?? 'answered');
			return {
				result: chooseResult(answer.statusCode, outcome),
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

function chooseResult(status: number, outcome: string): CallSample['result'] {
	if (status < 500 && outcome === 'answered') {
		return 'whole';
	}

	return outcome === 'notRun' ? 'shed' : 'failed';
}

/**
 * Computes a quantile of exact values.
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
