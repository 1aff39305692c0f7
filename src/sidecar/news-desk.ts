/**
 * What replies tell besides their answer, on the way out and on the way in.
 *
 * Load, configuration, pressure and costs ride on the replies between sidecars, so that this knowledge
 * costs no messages of its own and is as fresh as the traffic.
 */
import {type Logger} from '../reporting/logger.ts';
import {type Directory} from './knowledge/directory.ts';
import {type GuardLoad, type ReplyNews} from './link/messages.ts';
import {CallerMix} from './overload/caller-mix.ts';
import {CallModel} from './overload/call-model.ts';
import {CostBook, type CostVector} from './overload/cost-book.ts';
import {OpenShare} from './overload/open-share.ts';
import {PressureBoard} from './overload/pressure-board.ts';
import {RefusalRate} from './overload/refusal-rate.ts';
import {type Member} from './types.ts';

/** Costs of a route ride on each so many-th reply; they change slowly. */
const costsEvery = 8;
/** Lines about pressure come at most this often. */
const logEveryMs = 1000;
/**
 * Part of the allowed repeats that may carry requests past a server that refuses at random. The rest
 * covers that demand and budgets are unevenly spread over the sidecars.
 */
const repeatShare = 0.6;

export type NewsOptions = {
	readonly instance: string;
	readonly region: string;
	readonly retryRatio: number;
	readonly directory: Directory;
	readonly logger: Logger;
	readLoad(): GuardLoad;
	readConfigVersion(): number;
	/** Service of the own server; undefined while it is not known. */
	readService(): string | undefined;
};

export class NewsDesk {
	/**
	 * @example
	 * const desk = NewsDesk.create(options);
	 * const news = desk.collect('r-orders', 'catalogue');
	 */
	static create(options: NewsOptions): NewsDesk {
		return new NewsDesk(options);
	}

	readonly model = CallModel.create();
	readonly costs = CostBook.create();
	readonly board: PressureBoard;
	readonly #openShare = OpenShare.create();
	readonly #refusals: RefusalRate;
	readonly #mix: CallerMix;
	#replies = 0;
	#outcomes = 0;
	#loggedAtMs = 0;

	private constructor(private readonly options: NewsOptions) {
		this.board = PressureBoard.create(options.region);
		this.#refusals = RefusalRate.create(options.retryRatio * repeatShare);
		this.#mix = CallerMix.create(service => options.directory.listService(service).length);
	}

	/** Collects what goes with a reply to a request of a route from an instance of a service. */
	collect(route: string, callerService: string): ReplyNews {
		const nowMs = performance.now();
		this.#recordOwnPressure(nowMs);
		return {
			load: this.options.readLoad(),
			configVersion: this.options.readConfigVersion(),
			pressure: this.board.listNews(nowMs),
			costs: this.#replies++ % costsEvery === 0 ? this.#computeCosts(route) : undefined,
			isInner: this.#mix.isInner(route, callerService, this.options.directory.countServices()),
		};
	}

	/** Takes what came with a reply of another guard. */
	take(from: Member, route: string, news: ReplyNews): void {
		const nowMs = performance.now();
		for (const report of news.pressure) {
			if (report.instance !== this.options.instance) {
				this.board.record(report, nowMs);
			}
		}

		if (news.isInner !== undefined) {
			this.model.setInner(route, news.isInner);
		}

		if (news.costs !== undefined) {
			this.costs.learn(route, from.service, news.costs);
		}
	}

	/** Records a request that arrives at the own guard and the use of the slots that it finds. */
	recordArrival(route: string, callerService: string, use: number): void {
		this.#mix.record(route, callerService);
		this.#openShare.recordUse(use, performance.now());
	}

	/** Records a request that goes to the own server. */
	recordStart(route: string): void {
		this.model.recordBegun(route, performance.now());
	}

	/** Records an answer of the own server. */
	recordAnswer(route: string, isNotRun: boolean, ranMs: number): void {
		this.#refusals.record(isNotRun, performance.now());
		if (isNotRun) {
			return;
		}

		this.costs.recordOwn(route, ranMs);
		if (this.#outcomes++ % costsEvery === 0) {
			this.#learnFromOwn(route);
		}
	}

	/** Requests that stay on this instance bring no replies of other guards. */
	#learnFromOwn(route: string): void {
		const service = this.options.readService();
		const costs = this.#computeCosts(route);
		if (service === undefined || costs === undefined) {
			return;
		}

		this.costs.learn(route, service, costs);
		const isInner = this.#mix.isInner(route, service, this.options.directory.countServices());
		if (isInner !== undefined) {
			this.model.setInner(route, isInner);
		}
	}

	/** Logs once a second while the own server can't take all of its demand. */
	#logPressure(openShare: number, repeatableShare: number, nowMs: number): void {
		if (Math.min(openShare, repeatableShare) >= 1 || nowMs - this.#loggedAtMs < logEveryMs) {
			return;
		}

		this.#loggedAtMs = nowMs;
		const {running, waiting, limit} = this.options.readLoad();
		const shares = {
			openShare: Math.round(openShare * 100) / 100,
			repeatableShare: Math.round(repeatableShare * 100) / 100,
		};
		this.options.logger.info({...shares, running, waiting, limit}, 'server is under pressure');
	}

	#computeCosts(route: string): CostVector | undefined {
		const service = this.options.readService();
		return service === undefined
			? undefined
			: this.costs.compute(route, service, this.model.listCalls(route));
	}

	#recordOwnPressure(nowMs: number): void {
		const service = this.options.readService();
		if (service === undefined) {
			return;
		}

		const {instance, region} = this.options;
		const openShare = this.#openShare.read(nowMs);
		const repeatableShare = this.#refusals.computeShare(nowMs);
		this.board.record({instance, service, region, openShare, repeatableShare, ageMs: 0}, nowMs);
		this.#logPressure(openShare, repeatableShare, nowMs);
	}
}
