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

type Report = {
	readonly service: string;
	readonly region: string;
	readonly openShare: number;
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
			const {service, region, openShare} = news;
			this.#reports.set(news.instance, {service, region, openShare, atMs});
		}
	}

	/** Lists the services under pressure, with the share of the demand that they can take. */
	listPressed(nowMs: number): Map<string, number> {
		const sums = new Map<string, {near: number[]; all: number[]}>();
		for (const [instance, report] of this.#reports) {
			if (nowMs - report.atMs > maxAgeMs) {
				this.#reports.delete(instance);
				continue;
			}

			const sum = sums.get(report.service) ?? {near: [], all: []};
			sum.all.push(report.openShare);
			if (report.region === this.region) {
				sum.near.push(report.openShare);
			}

			sums.set(report.service, sum);
		}

		const pressed = new Map<string, number>();
		for (const [service, {near, all}] of sums) {
			const openShare = computeMean(near.length > 0 ? near : all);
			if (openShare < closedBelow) {
				pressed.set(service, openShare);
			}
		}

		return pressed;
	}

	/** Lists reports to hand on; with many of them, some in turn. */
	listNews(nowMs: number): PressureNews[] {
		const news: PressureNews[] = [];
		for (const [instance, {service, region, openShare, atMs}] of this.#reports) {
			const ageMs = nowMs - atMs;
			if (ageMs <= maxAgeMs) {
				news.push({instance, service, region, openShare, ageMs});
			}
		}

		if (news.length <= maxNews) {
			return news;
		}

		this.#turn = (this.#turn + maxNews) % news.length;
		return [...news.slice(this.#turn), ...news.slice(0, this.#turn)].slice(0, maxNews);
	}
}

function computeMean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum / values.length;
}
