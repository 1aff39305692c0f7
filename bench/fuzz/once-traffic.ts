/**
 * Simulated callers that send once calls through any daemon, repeat them and sometimes disconnect.
 */
import {setTimeout as wait} from 'node:timers/promises';
import {Agent, request} from 'undici';
import {type TestBed} from '../harness/test-bed.ts';
import {type AttemptOutcome, type OnceOracle} from './once-oracle.ts';
import {type SeededRandom} from './seeded-random.ts';

const callTimeoutMs = 4000;
const mintTimeoutMs = 1000;
const pauseMs = 5;
const newKeyProbability = 0.5;
const mintedKeyProbability = 0.2;
const disconnectProbability = 0.05;
const maxDisconnectDelayMs = 20;
const maxRecentKeys = 12;
const service = 'commandes';

/** Sends once calls until `stop`. */
export class OnceTraffic {
	/**
	 * @example
	 * const traffic = OnceTraffic.create(bed, oracle, random);
	 * const done = traffic.run(8);
	 */
	static create(bed: TestBed, oracle: OnceOracle, random: SeededRandom): OnceTraffic {
		return new OnceTraffic(bed, oracle, random);
	}

	readonly #agent = new Agent({connections: 32, connect: {timeout: 1000}});
	readonly #bed: TestBed;
	readonly #oracle: OnceOracle;
	readonly #random: SeededRandom;
	readonly #recentKeys: string[] = [];
	#isStopped = false;
	#serial = 0;

	private constructor(bed: TestBed, oracle: OnceOracle, random: SeededRandom) {
		this.#bed = bed;
		this.#oracle = oracle;
		this.#random = random;
	}

	/** Runs a number of concurrent callers until `stop`. */
	async run(callers: number): Promise<void> {
		await Promise.all(Array.from({length: callers}, async () => this.#runCaller()));
	}

	stop(): void {
		this.#isStopped = true;
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	/** Sends one attempt through one daemon's caller port; disconnects after `disconnectAfterMs`, if given. */
	async send(port: number, key: string, disconnectAfterMs?: number): Promise<AttemptOutcome> {
		const attempt = this.#oracle.addAttempt(key);
		const outcome = await this.#exchange(port, key, attempt.id, disconnectAfterMs);
		attempt.recordOutcome(outcome);
		return outcome;
	}

	async #runCaller(): Promise<void> {
		while (!this.#isStopped) {
			const port = this.#random.pickElement(this.#bed.listCallerPorts());
			const key = await this.#chooseKey(port);
			if (key !== undefined) {
				const disconnects = this.#random.pickBoolean(disconnectProbability);
				await this.send(
					port,
					key,
					disconnects ? this.#random.pickInteger(1, maxDisconnectDelayMs) : undefined,
				);
			}

			await wait(pauseMs);
		}
	}

	async #chooseKey(port: number): Promise<string | undefined> {
		if (this.#recentKeys.length > 0 && !this.#random.pickBoolean(newKeyProbability)) {
			return this.#random.pickElement(this.#recentKeys);
		}

		const key = this.#random.pickBoolean(mintedKeyProbability)
			? await this.#mintKey(port)
			: `k${++this.#serial}`;
		if (key !== undefined) {
			this.#recentKeys.push(key);
			this.#recentKeys.splice(0, this.#recentKeys.length - maxRecentKeys);
		}

		return key;
	}

	async #mintKey(port: number): Promise<string | undefined> {
		try {
			const answer = await request(`http://127.0.0.1:${port}/primrosevalve/keys/${service}`, {
				method: 'POST',
				dispatcher: this.#agent,
				signal: AbortSignal.timeout(mintTimeoutMs),
			});
			const {key} = (await answer.body.json()) as {readonly key?: string};
			return key;
		} catch {
			return undefined;
		}
	}

	async #exchange(
		port: number,
		key: string,
		attemptId: string,
		disconnectAfterMs: number | undefined,
	): Promise<AttemptOutcome> {
		try {
			const answer = await request(`http://127.0.0.1:${port}/${service}/orders`, {
				method: 'POST',
				dispatcher: this.#agent,
				headers: {'idempotency-key': key, 'x-attempt': attemptId},
				body: `order ${key}`,
				signal: AbortSignal.timeout(disconnectAfterMs ?? callTimeoutMs),
			});
			const body = await answer.body.text();
			return readOutcome(answer.headers, body);
		} catch {
			return {kind: 'lost'};
		}
	}
}

/** Reads the outcome of an attempt from the headers of its answer. */
function readOutcome(
	headers: Readonly<Record<string, string | string[] | undefined>>,
	body: string,
) {
	const kind = headers['primrosevalve-outcome'];
	const reason = String(headers['primrosevalve-reason'] ?? '');
	switch (kind) {
		case undefined: {
			return {kind: 'answered', body} as const;
		}

		case 'notRun': {
			return {kind, reason} as const;
		}

		default: {
			return {kind: 'unknown', reason} as const;
		}
	}
}
