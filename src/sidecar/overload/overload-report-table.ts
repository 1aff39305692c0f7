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
	/** Instances with a report, in the order in which they are attached to replies. */
	readonly #rotation: string[] = [];
	#nextIndex = 0;

	private constructor(private readonly region: string) {}

	/** Records the report of an instance unless a newer one is known. */
	record(report: OverloadReport, nowMs: number): void {
		const atMs = nowMs - report.ageMs;
		const known = this.#reports.get(report.instance);
		if (known === undefined || known.atMs < atMs) {
			if (known === undefined) {
				this.#rotation.push(report.instance);
			}

			const {service, region, openShare, repeatableShare} = report;
			this.#reports.set(report.instance, {service, region, openShare, repeatableShare, atMs});
		}
	}

	/** Returns the recent report of an instance. */
	read(instance: string, nowMs: number): OverloadReport | undefined {
		const report = this.#reports.get(instance);
		const ageMs = nowMs - (report?.atMs ?? Number.NEGATIVE_INFINITY);
		if (report === undefined || ageMs > maxReportAgeMs) {
			return undefined;
		}

		const {service, region, openShare, repeatableShare} = report;
		return {instance, service, region, openShare, repeatableShare, ageMs};
	}

	/** Lists the overloaded services with the shares of their demand that they can accept. */
	listOverloaded(nowMs: number): Map<string, ServiceOverload> {
		const reportsByService = new Map<string, {near: Report[]; all: Report[]}>();
		for (const report of this.#reports.values()) {
			if (nowMs - report.atMs > maxReportAgeMs) {
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

	/** Lists the reports to attach to a reply: the next ones in rotation, up to the limit. */
	listReports(nowMs: number): OverloadReport[] {
		const listed: OverloadReport[] = [];
		for (let visited = this.#rotation.length; visited > 0; visited--) {
			this.#nextIndex %= this.#rotation.length;
			const instance = this.#rotation[this.#nextIndex]!;
			const report = this.read(instance, nowMs);
			if (report === undefined) {
				this.#rotation.splice(this.#nextIndex, 1);
				this.#reports.delete(instance);
				continue;
			}

			listed.push(report);
			this.#nextIndex++;
			if (listed.length >= maxReportsPerReply) {
				break;
			}
		}

		return listed;
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
