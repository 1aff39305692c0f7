/**
 * Collects the overload reports that guards attach to their replies.
 *
 * Sidecars forward the reports, so that one that never calls an overloaded service directly learns of the
 * overload from a sidecar that does.
 */
import {type OverloadReport} from '../link/messages.ts';

/** Older reports are ignored; a service without a recent report counts as not overloaded. */
const maxReportAgeMs = 2500;
/** Limit per reply; with more reports, successive replies rotate through them. */
const maxReportsPerReply = 6;
/** Services whose smaller share is at or above this value are not listed as overloaded. */
const minNormalShare = 0.995;

/** Shares of its demand that a service can accept. */
export type ServiceOverload = {
	/** Limited by the slots of its servers. */
	readonly openShare: number;
	/** Limited by the retries that the budget allows, while servers refuse requests at random. */
	readonly repeatableShare: number;
	/** Age of the newest report. */
	readonly ageMs: number;
};

type Report = {
	readonly service: string;
	readonly region: string;
	readonly openShare: number;
	readonly repeatableShare: number;
	readonly atMs: number;
};

export class OverloadReportTable {
	/**
	 * @param region - reports of this region take precedence, since requests seldom leave it
	 * @example
	 * const reports = OverloadReportTable.create('qc-est');
	 */
	static create(region: string): OverloadReportTable {
		return new OverloadReportTable(region);
	}

	readonly #reports = new Map<string, Report>();
	#rotationOffset = 0;

	private constructor(private readonly region: string) {}

	/** Records the report of an instance unless a newer one is known. */
	record(report: OverloadReport, nowMs: number): void {
		const atMs = nowMs - report.ageMs;
		const known = this.#reports.get(report.instance);
		if (known === undefined || known.atMs < atMs) {
			const {service, region, openShare, repeatableShare} = report;
			this.#reports.set(report.instance, {service, region, openShare, repeatableShare, atMs});
		}
	}

	/** Lists the overloaded services with the shares of their demand that they can accept. */
	listOverloaded(nowMs: number): Map<string, ServiceOverload> {
		const reportsByService = new Map<string, {near: Report[]; all: Report[]}>();
		for (const [instance, report] of this.#reports) {
			if (nowMs - report.atMs > maxReportAgeMs) {
				this.#reports.delete(instance);
				continue;
			}

			const reports = reportsByService.get(report.service) ?? {near: [], all: []};
			reports.all.push(report);
			if (report.region === this.region) {
				reports.near.push(report);
			}

			reportsByService.set(report.service, reports);
		}

		const overloaded = new Map<string, ServiceOverload>();
		for (const [service, {near, all}] of reportsByService) {
			const overload = computeMean(near.length > 0 ? near : all, nowMs);
			if (Math.min(overload.openShare, overload.repeatableShare) < minNormalShare) {
				overloaded.set(service, overload);
			}
		}

		return overloaded;
	}

	/** Lists the reports to attach to a reply, in rotation if there are more than the limit. */
	listReports(nowMs: number): OverloadReport[] {
		const recent: OverloadReport[] = [];
		for (const [instance, {atMs, ...report}] of this.#reports) {
			const ageMs = nowMs - atMs;
			if (ageMs <= maxReportAgeMs) {
				recent.push({instance, ...report, ageMs});
			}
		}

		if (recent.length <= maxReportsPerReply) {
			return recent;
		}

		this.#rotationOffset = (this.#rotationOffset + maxReportsPerReply) % recent.length;
		return [...recent.slice(this.#rotationOffset), ...recent.slice(0, this.#rotationOffset)].slice(
			0,
			maxReportsPerReply,
		);
	}
}

function computeMean(reports: readonly Report[], nowMs: number): ServiceOverload {
	let openShare = 0;
	let repeatableShare = 0;
	let newestMs = Number.NEGATIVE_INFINITY;
	for (const report of reports) {
		openShare += report.openShare / reports.length;
		repeatableShare += report.repeatableShare / reports.length;
		newestMs = Math.max(newestMs, report.atMs);
	}

	return {openShare, repeatableShare, ageMs: nowMs - newestMs};
}
