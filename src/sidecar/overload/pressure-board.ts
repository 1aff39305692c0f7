/**
 * How much of its demand each service can take, as guards tell on their replies.
 *
 * Reports are handed on: a sidecar that never talks to a deep service hears of it from one that does.
 */
import {type PressureNews} from '../link/messages.ts';

/** A report that is older says nothing any more; the service is taken as open. */
const maxAgeMs = 2500;
/** Reports on one reply; more services under pressure take turns. */
const maxNews = 6;
/** A guard that takes nearly all is not worth the bytes. */
const closedBelow = 0.995;

/** Shares of its demand that a service can take. */
export type Pressure = {
	/** By the slots of its servers. */
	readonly openShare: number;
	/** By the repeats that may be spent, while servers refuse requests at random. */
	readonly repeatableShare: number;
	/** Time since the newest report. */
	readonly ageMs: number;
};

type Report = {
	readonly service: string;
	readonly region: string;
	readonly openShare: number;
	readonly repeatableShare: number;
	readonly atMs: number;
};

export class PressureBoard {
	/**
	 * @param region - reports of this region are read first, since work seldom leaves it
	 * @example
	 * const board = PressureBoard.create('qc-est');
	 */
	static create(region: string): PressureBoard {
		return new PressureBoard(region);
	}

	readonly #reports = new Map<string, Report>();
	#turn = 0;

	private constructor(private readonly region: string) {}

	/** Takes a report of an instance; older ones than the known are ignored. */
	record(news: PressureNews, nowMs: number): void {
		const atMs = nowMs - news.ageMs;
		const known = this.#reports.get(news.instance);
		if (known === undefined || known.atMs < atMs) {
			const {service, region, openShare, repeatableShare} = news;
			this.#reports.set(news.instance, {service, region, openShare, repeatableShare, atMs});
		}
	}

	/** Lists the services under pressure, with the shares of the demand that they can take. */
	listPressed(nowMs: number): Map<string, Pressure> {
		const sums = new Map<string, {near: Report[]; all: Report[]}>();
		for (const [instance, report] of this.#reports) {
			if (nowMs - report.atMs > maxAgeMs) {
				this.#reports.delete(instance);
				continue;
			}

			const sum = sums.get(report.service) ?? {near: [], all: []};
			sum.all.push(report);
			if (report.region === this.region) {
				sum.near.push(report);
			}

			sums.set(report.service, sum);
		}

		const pressed = new Map<string, Pressure>();
		for (const [service, {near, all}] of sums) {
			const pressure = computeMean(near.length > 0 ? near : all, nowMs);
			if (Math.min(pressure.openShare, pressure.repeatableShare) < closedBelow) {
				pressed.set(service, pressure);
			}
		}

		return pressed;
	}

	/** Lists reports to hand on; with many of them, some in turn. */
	listNews(nowMs: number): PressureNews[] {
		const news: PressureNews[] = [];
		for (const [instance, {atMs, ...report}] of this.#reports) {
			const ageMs = nowMs - atMs;
			if (ageMs <= maxAgeMs) {
				news.push({instance, ...report, ageMs});
			}
		}

		if (news.length <= maxNews) {
			return news;
		}

		this.#turn = (this.#turn + maxNews) % news.length;
		return [...news.slice(this.#turn), ...news.slice(0, this.#turn)].slice(0, maxNews);
	}
}

function computeMean(reports: readonly Report[], nowMs: number): Pressure {
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
