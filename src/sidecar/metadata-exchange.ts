/**
 * Creates the metadata of outgoing replies and applies that of incoming ones.
 *
 * Load, configuration version, overload and costs are piggybacked on the replies between sidecars, so
 * that they need no messages of their own and are as recent as the traffic.
 */
import {type Logger} from '../reporting/logger.ts';
import {type Directory} from './discovery/directory.ts';
import {type GuardLoad, type ReplyMetadata} from './link/messages.ts';
import {NestedCallDetector} from './overload/nested-call-detector.ts';
import {CallRatioEstimator} from './overload/call-ratio-estimator.ts';
import {CostTable, type CostVector} from './overload/cost-table.ts';
import {OpenShareController} from './overload/open-share.ts';
import {
	listCosts,
	maxEntries,
	type OverloadSummary,
	type RouteCosts,
	type RouteDemand,
} from './overload/overload-summary.ts';
import {OverloadReportTable} from './overload/overload-report-table.ts';
import {RefusalRate} from './overload/refusal-rate.ts';
import {type Member} from './types.ts';

/** Costs of a route are computed for one reply in this many, since they change slowly. */
const repliesPerCostReport = 8;
/** Minimum interval between log lines about overload. */
const logIntervalMs = 1000;
/**
 * Fraction of the allowed retries that may send requests to another server after one refused them at
 * random. The rest is headroom, because demand and budgets are spread unevenly over the sidecars.
 */
const refusalRetryFraction = 0.6;

export type MetadataExchangeOptions = {
	readonly instance: string;
	readonly region: string;
	readonly retryBudgetRatio: number;
	readonly directory: Directory;
	readonly logger: Logger;
	readLoad(): GuardLoad;
	readConfigVersion(): number;
	/** Lists the demand of callers at the local entry. */
	listDemands(nowMs: number): readonly RouteDemand[];
	/** Service of the local server; undefined while it is not known. */
	readService(): string | undefined;
};

export class MetadataExchange {
	/**
	 * @example
	 * const exchange = MetadataExchange.create(options);
	 * const metadata = exchange.createMetadata('r-orders', 'catalogue');
	 */
	static create(options: MetadataExchangeOptions): MetadataExchange {
		return new MetadataExchange(options);
	}

	readonly callRatios = CallRatioEstimator.create();
	readonly costs = CostTable.create();
	readonly overloadReports: OverloadReportTable;
	readonly #openShare = OpenShareController.create();
	readonly #refusalRate: RefusalRate;
	readonly #nestedCallDetector: NestedCallDetector;
	#replyCount = 0;
	#answerCount = 0;
	#loggedAtMs = 0;

	private constructor(private readonly options: MetadataExchangeOptions) {
		this.overloadReports = OverloadReportTable.create(options.region);
		this.#refusalRate = RefusalRate.create(options.retryBudgetRatio * refusalRetryFraction);
		this.#nestedCallDetector = NestedCallDetector.create(service =>
			options.directory.countMembers(service),
		);
	}

	/** Creates the metadata of a reply to a request of a route that an instance of a service sent. */
	createMetadata(route: string, callerService: string): ReplyMetadata {
		const nowMs = performance.now();
		this.#recordLocalOverload(nowMs);
		return {
			load: this.options.readLoad(),
			configVersion: this.options.readConfigVersion(),
			overloadReports: this.overloadReports.listReports(nowMs),
			costs:
				this.#replyCount++ % repliesPerCostReport === 0 ? this.#computeCosts(route) : undefined,
			isNested: this.#nestedCallDetector.isNested(
				route,
				callerService,
				this.options.directory.countServices(),
			),
		};
	}

	/** Applies the metadata of a reply from another guard. */
	apply(from: Member, route: string, metadata: ReplyMetadata): void {
		const nowMs = performance.now();
		for (const report of metadata.overloadReports) {
			if (report.instance !== this.options.instance) {
				this.overloadReports.record(report, nowMs);
			}
		}

		if (metadata.isNested !== undefined) {
			this.callRatios.setNested(route, metadata.isNested);
		}

		if (metadata.costs !== undefined) {
			this.costs.set(route, from.service, metadata.costs);
		}
	}

	/** Creates the summary of this instance for its data centre. */
	createSummary(nowMs: number): OverloadSummary {
		this.#recordLocalOverload(nowMs);
		const service = this.options.readService();
		const costs: RouteCosts[] = [];
		for (const route of this.costs.listLocalRoutes()) {
			const computed = this.#computeCosts(route);
			if (service !== undefined && computed !== undefined && costs.length < maxEntries) {
				costs.push({route, service, costs: listCosts(computed)});
			}
		}

		const report = this.overloadReports.read(this.options.instance, nowMs);
		return {
			demands: this.options.listDemands(nowMs),
			costs,
			origins: this.#nestedCallDetector.listOrigins(this.options.directory.countServices()),
			reports: report === undefined ? [] : [report],
		};
	}

	/** Applies the merged summary of the data centre. */
	applySummary(summary: OverloadSummary, nowMs: number): void {
		const ownService = this.options.readService();
		for (const {route, service, costs} of summary.costs) {
			this.costs.set(route, service, new Map(costs.map(cost => [cost.service, cost])));
		}

		for (const {route, callerService, isNested} of summary.origins) {
			if (callerService === ownService) {
				this.callRatios.setNested(route, isNested);
			}
		}

		for (const report of summary.reports) {
			if (report.instance !== this.options.instance) {
				this.overloadReports.record(report, nowMs);
			}
		}
	}

	/** Records a request that arrives at the local guard, and the utilization of the slots at that time. */
	recordArrival(route: string, callerService: string, utilization: number): void {
		this.#nestedCallDetector.record(route, callerService);
		this.#openShare.recordUtilization(utilization, performance.now());
	}

	/** Records a request that is sent to the local server. */
	recordStart(route: string): void {
		this.callRatios.recordInbound(route, performance.now());
	}

	/** Records an answer of the local server. */
	recordAnswer(route: string, isNotRun: boolean, ranMs: number): void {
		this.#refusalRate.record(isNotRun, performance.now());
		if (isNotRun) {
			return;
		}

		this.costs.recordLocalSlotTime(route, ranMs);
		if (this.#answerCount++ % repliesPerCostReport === 0) {
			this.#updateFromLocalServer(route);
		}
	}

	/** Updates the costs locally, since requests that stay on this instance bring no metadata of other guards. */
	#updateFromLocalServer(route: string): void {
		const service = this.options.readService();
		const costs = this.#computeCosts(route);
		if (service === undefined || costs === undefined) {
			return;
		}

		this.costs.set(route, service, costs);
		const isNested = this.#nestedCallDetector.isNested(
			route,
			service,
			this.options.directory.countServices(),
		);
		if (isNested !== undefined) {
			this.callRatios.setNested(route, isNested);
		}
	}

	/** Logs at most once a second while the local server can't accept all of its demand. */
	#logOverload(openShare: number, repeatableShare: number, nowMs: number): void {
		if (Math.min(openShare, repeatableShare) >= 1 || nowMs - this.#loggedAtMs < logIntervalMs) {
			return;
		}

		this.#loggedAtMs = nowMs;
		const {running, waiting, limit} = this.options.readLoad();
		const shares = {
			openShare: Math.round(openShare * 100) / 100,
			repeatableShare: Math.round(repeatableShare * 100) / 100,
		};
		this.options.logger.info({...shares, running, waiting, limit}, 'local server is overloaded');
	}

	#computeCosts(route: string): CostVector | undefined {
		const service = this.options.readService();
		return service === undefined
			? undefined
			: this.costs.computeTotal(route, service, this.callRatios.listCallRatios(route));
	}

	#recordLocalOverload(nowMs: number): void {
		const service = this.options.readService();
		if (service === undefined) {
			return;
		}

		const {instance, region} = this.options;
		const openShare = this.#openShare.read(nowMs);
		const repeatableShare = this.#refusalRate.computeRepeatableShare(nowMs);
		this.overloadReports.record(
			{instance, service, region, openShare, repeatableShare, ageMs: 0},
			nowMs,
		);
		this.#logOverload(openShare, repeatableShare, nowMs);
	}
}
