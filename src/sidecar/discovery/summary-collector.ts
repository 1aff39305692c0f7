/** Collects the overload summaries of a data centre at a watcher, and decides when to exchange them. */
import {mergeSummaries, type OverloadSummary} from '../overload/overload-summary.ts';

/** Demand and costs change slowly; while a service is overloaded, its capacity changes within a second. */
const calmIntervalMs = 4000;
const overloadIntervalMs = 900;
/** A summary is left out after two exchanges without an answer of its instance. */
const maxAgeMs = 2 * calmIntervalMs;

type Collected = {readonly summary: OverloadSummary; readonly atMs: number};

export class SummaryCollector {
	/**
	 * @example
	 * const collector = SummaryCollector.create();
	 * collector.record('sidecar-est-a-2', summary, nowMs);
	 */
	static create(): SummaryCollector {
		return new SummaryCollector();
	}

	readonly #collected = new Map<string, Collected>();
	#exchangedAtMs = Number.NEGATIVE_INFINITY;

	private constructor() {
		// Instances are created with `create`.
	}

	record(instance: string, summary: OverloadSummary, nowMs: number): void {
		this.#collected.set(instance, {summary, atMs: nowMs});
	}

	/** Whether the next relay should carry a summary. */
	isDue(nowMs: number): boolean {
		const elapsedMs = nowMs - this.#exchangedAtMs;
		return elapsedMs >= calmIntervalMs || (elapsedMs >= overloadIntervalMs && this.#isOverloaded());
	}

	/** Merges the recent summaries for one exchange. */
	merge(nowMs: number): OverloadSummary {
		this.#exchangedAtMs = nowMs;
		const recent: OverloadSummary[] = [];
		for (const [instance, {summary, atMs}] of this.#collected) {
			if (nowMs - atMs > maxAgeMs) {
				this.#collected.delete(instance);
				continue;
			}

			recent.push(addAge(summary, nowMs - atMs));
		}

		return mergeSummaries(recent);
	}

	#isOverloaded(): boolean {
		for (const {summary} of this.#collected.values()) {
			if (summary.reports.some(report => Math.min(report.openShare, report.repeatableShare) < 1)) {
				return true;
			}
		}

		return false;
	}
}

function addAge(summary: OverloadSummary, ageMs: number): OverloadSummary {
	return {
		...summary,
		reports: summary.reports.map(report => ({...report, ageMs: report.ageMs + ageMs})),
	};
}
