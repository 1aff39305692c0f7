/**
 * Metrics of a daemon, exported in the Prometheus text format.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

const latencyBucketsSeconds = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Outcome and latency of one call that ended at an entry. */
export type CallSample = {
	readonly service: string;
	readonly caller: string;
	readonly outcome: string;
	/** True for a complete answer with a status below 500 within the latency objective. */
	readonly isGood: boolean;
	readonly latencyMs: number;
};

/** Number of calls of one service and caller since the daemon started. */
export type CallCounters = {
	readonly service: string;
	readonly caller: string;
	readonly total: number;
	readonly good: number;
};

/** Metrics registry of one daemon. */
export class Metrics {
	/**
	 * @example
	 * const metrics = Metrics.create({server: 'catalogue-1', service: 'catalogue'});
	 */
	static create(labels: Readonly<Record<string, string>>): Metrics {
		const registry = new Registry();
		registry.setDefaultLabels(labels);
		return new Metrics(registry);
	}

	readonly registry: Registry;
	readonly #calls: Counter<'service' | 'caller' | 'outcome'>;
	readonly #goodCalls: Counter<'service' | 'caller'>;
	readonly #latency: Histogram<'service'>;
	readonly #shedCalls: Counter<'call' | 'reason'>;
	readonly #retries: Counter<'service'>;
	readonly #state: Gauge<'name'>;

	private constructor(registry: Registry) {
		const registers = [registry];
		this.registry = registry;
		this.#calls = new Counter({
			name: 'primrosevalve_calls_total',
			help: 'Calls that ended at this entry',
			labelNames: ['service', 'caller', 'outcome'],
			registers,
		});
		this.#goodCalls = new Counter({
			name: 'primrosevalve_good_calls_total',
			help: 'Calls with a whole answer within the latency objective',
			labelNames: ['service', 'caller'],
			registers,
		});
		this.#latency = new Histogram({
			name: 'primrosevalve_call_seconds',
			help: 'Time from a call to the last byte of its answer',
			labelNames: ['service'],
			buckets: latencyBucketsSeconds,
			registers,
		});
		this.#shedCalls = new Counter({
			name: 'primrosevalve_shed_total',
			help: 'Calls that this guard refused or could not answer',
			labelNames: ['call', 'reason'],
			registers,
		});
		this.#retries = new Counter({
			name: 'primrosevalve_retries_total',
			help: 'Retries and hedges that this entry sent',
			labelNames: ['service'],
			registers,
		});
		this.#state = new Gauge({
			name: 'primrosevalve_state',
			help: 'Named facts: policy version, members, slots, limits',
			labelNames: ['name'],
			registers,
		});
	}

	countCall(sample: CallSample): void {
		this.#calls.inc({service: sample.service, caller: sample.caller, outcome: sample.outcome});
		this.#latency.observe({service: sample.service}, sample.latencyMs / 1000);
		if (sample.isGood) {
			this.#goodCalls.inc({service: sample.service, caller: sample.caller});
		}
	}

	countUnansweredCall(call: string, reason: string): void {
		this.#shedCalls.inc({call, reason});
	}

	countRetry(service: string): void {
		this.#retries.inc({service});
	}

	setState(name: string, value: number): void {
		this.#state.set({name}, value);
	}

	/** Lists the number of calls since the daemon started, by service and caller. */
	async listCallCounters(): Promise<readonly CallCounters[]> {
		const calls = await this.#calls.get();
		const goodCalls = await this.#goodCalls.get();
		const counters = new Map<
			string,
			{service: string; caller: string; total: number; good: number}
		>();
		for (const {labels, value} of calls.values) {
			const {service, caller} = readCallLabels(labels);
			const key = `${service} ${caller}`;
			const counter = counters.get(key) ?? {service, caller, total: 0, good: 0};
			counter.total += value;
			counters.set(key, counter);
		}

		for (const {labels, value} of goodCalls.values) {
			const {service, caller} = readCallLabels(labels);
			const counter = counters.get(`${service} ${caller}`);
			if (counter !== undefined) {
				counter.good = value;
			}
		}

		return [...counters.values()];
	}

	/** Renders all metrics in the text format. */
	async renderText(): Promise<string> {
		return this.registry.metrics();
	}
}

/** Reads the service and the caller from the labels of a counter. */
function readCallLabels(labels: Partial<Record<string, string | number>>) {
	return {service: String(labels.service ?? ''), caller: String(labels.caller ?? '')};
}
