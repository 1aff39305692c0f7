/**
 * Selects a server for each call of one daemon, based on the daemon's own measurements.
 */
import {notRunReasons, type NotRunReason} from '../call/types.ts';
import {type Member} from '../membership/types.ts';
import {type Policy} from '../policy/schema.ts';
import {LinkBudget} from './link-budget.ts';
import {countLiveMembers, groupByService} from './member-lists.ts';
import {type ServerEntry, type Strictness} from './server-entry.ts';
import {ServerGroup, type Locality} from './server-group.ts';
import {pickRoundRobin, pickByCost, type PickInput, type RandomSource} from './pick-server.ts';
import {type AttemptResult, type RouteChoice, type RouteRequest, type Router} from './types.ts';

export type RouterOptions = Locality & {
	/** Uniform in [0, 1); seeded if runs must be reproducible. */
	readonly random: RandomSource;
};

/** Routing settings of one service in the policy. */
type ServiceRule = {readonly otherRegion: boolean; readonly maxEjectedShare: number};

const defaultRule: ServiceRule = {otherRegion: false, maxEjectedShare: 0.3};
/** Minimum bytes charged for a call: the headers of request and answer. */
const minCallBytes = 1000;
const defaultLink = {bitsPerSecond: 30_000_000, callShare: 0.8} as const;

/** Power of two choices by cost, nearest tier first, with ejection, slow start and link budget. */
export class ServiceRouter implements Router {
	/**
	 * @example
	 * const router = ServiceRouter.create({dataCentre: 'est-a', region: 'qc-est', random});
	 */
	static create(options: RouterOptions): ServiceRouter {
		return new ServiceRouter(options);
	}

	readonly #groups = new Map<string, ServerGroup>();
	readonly #rules = new Map<string, ServiceRule>();
	readonly #linkBudget: LinkBudget;
	#link: {readonly bitsPerSecond: number; readonly callShare: number} = defaultLink;
	#regionMemberCount = 1;
	#routingKind: Policy['routing']['kind'] = 'measured';
	#roundRobinTurn = 0;

	private constructor(private readonly options: RouterOptions) {
		this.#linkBudget = LinkBudget.create({...defaultLink, memberCount: 1});
	}

	/**
	 * Replaces the members. Instances that remain keep their measurements.
	 *
	 * @example
	 * router.setMembers(members, nowMs);
	 */
	setMembers(members: readonly Member[], nowMs: number): void {
		const byService = groupByService(members);
		for (const service of this.#groups.keys()) {
			if (!byService.has(service)) {
				this.#groups.delete(service);
			}
		}

		for (const [service, list] of byService) {
			const group = this.#groups.get(service) ?? ServerGroup.create(this.options);
			group.setMembers(list, nowMs);
			group.reinstateSurplus(this.#readRule(service).maxEjectedShare, nowMs);
			this.#groups.set(service, group);
		}

		this.#regionMemberCount = countLiveMembers(members, this.options.region);
		this.#linkBudget.configure({...this.#link, memberCount: this.#regionMemberCount});
	}

	/**
	 * Applies the routing settings of a policy.
	 *
	 * @example
	 * router.applyPolicy(policy);
	 */
	applyPolicy(policy: Policy): void {
		this.#rules.clear();
		for (const {name, otherRegion, maxEjectedShare} of policy.services) {
			this.#rules.set(name, {otherRegion, maxEjectedShare});
		}

		this.#routingKind = policy.routing.kind;
		this.#link = policy.link;
		this.#linkBudget.configure({...policy.link, memberCount: this.#regionMemberCount});
	}

	/**
	 * Selects a server. Each selection must be followed by `recordStart` and `recordResult`.
	 *
	 * @example
	 * const choice = router.choose(request, nowMs);
	 */
	choose(request: RouteRequest, nowMs: number): RouteChoice {
		const group = this.#groups.get(request.service);
		if (group === undefined) {
			return createRefusal(notRunReasons.noServer);
		}

		if (request.onlyInstanceId !== undefined) {
			return chooseInstance(group, request.onlyInstanceId, request);
		}

		// Two passes: the second also accepts servers that are ejected, suspected or shedding.
		const strictPick =
			this.#routingKind === 'measured'
				? this.#pickServer(group, request, nowMs, 'strict')
				: undefined;
		if (strictPick !== undefined) {
			return {kind: 'server', member: strictPick.member};
		}

		const relaxedPick = this.#pickServer(group, request, nowMs, 'relaxed');
		if (relaxedPick !== undefined) {
			return {kind: 'server', member: relaxedPick.member};
		}

		return createRefusal(this.#findRefusalReason(group, request));
	}

	/**
	 * Records that an attempt has been sent and is in flight.
	 *
	 * @example
	 * router.recordStart(choice.member, nowMs);
	 */
	recordStart(member: Member, nowMs: number): void {
		this.#groups.get(member.service)?.findEntry(member)?.recordStart(nowMs);
	}

	/**
	 * Records the result of an attempt. Results of instances that are no longer members are ignored.
	 *
	 * @example
	 * router.recordResult({member, callName, kind: 'answered', latencyMs: 8, bytes: 512}, nowMs);
	 */
	recordResult(result: AttemptResult, nowMs: number): void {
		const {member, bytes} = result;
		const group = this.#groups.get(member.service);
		const entry = group?.findEntry(member);
		if (group === undefined || entry === undefined) {
			return;
		}

		if (member.region !== this.options.region) {
			const reserved = entry.reservedBytes / Math.max(1, entry.inFlight);
			entry.reservedBytes -= reserved;
			this.#linkBudget.spend(Math.max(minCallBytes, bytes) - reserved);
		}

		group.recordResult(entry, result, nowMs, this.#readRule(member.service).maxEjectedShare);
	}

	/**
	 * Reads the delay in milliseconds after which an idempotent call may be hedged.
	 *
	 * @returns undefined until enough samples exist
	 * @example
	 * router.readHedgeDelayMs('catalogue', 'order-status');
	 */
	readHedgeDelayMs(service: string, callName: string): number | undefined {
		return this.#groups.get(service)?.findCallStats(callName)?.hedgeDelayMs;
	}

	/**
	 * Reads the mean latency in milliseconds of one kind of call; 0 until the first answer.
	 *
	 * @example
	 * router.readMeanLatencyMs('catalogue', 'order-status');
	 */
	readMeanLatencyMs(service: string, callName: string): number {
		return this.#groups.get(service)?.findCallStats(callName)?.meanMs ?? 0;
	}

	/**
	 * Returns whether most recent attempts at a service were refused for overload.
	 *
	 * @example
	 * router.isOverloaded('catalogue', nowMs);
	 */
	isOverloaded(service: string, nowMs: number): boolean {
		return this.#groups.get(service)?.isOverloaded(nowMs) ?? false;
	}

	/**
	 * Counts the usable servers of a service that are not in `excluded`.
	 *
	 * @example
	 * router.countUntried('catalogue', excluded);
	 */
	countUntried(service: string, excluded: ReadonlySet<string>): number {
		return this.#groups.get(service)?.countUntried(excluded) ?? 0;
	}

	/**
	 * Counts the servers of a service that are ejected or in their trial call.
	 *
	 * @example
	 * router.countEjected('catalogue');
	 */
	countEjected(service: string): number {
		return this.#groups.get(service)?.countEjected() ?? 0;
	}

	#pickServer(
		group: ServerGroup,
		request: RouteRequest,
		nowMs: number,
		strictness: Strictness,
	): ServerEntry | undefined {
		const {random} = this.options;
		const input: PickInput = {request, nowMs, peers: group.readPeerLatency(), random, strictness};
		const local =
			this.#pickFrom(group.ownDataCentre, input) ?? this.#pickFrom(group.otherDataCentres, input);
		if (local !== undefined || !this.#readRule(request.service).otherRegion) {
			return local;
		}

		const meanBytes = group.findCallStats(request.callName)?.meanBytes ?? 0;
		const neededBytes = Math.max(minCallBytes, request.requestBytes, meanBytes);
		// A call larger than the bucket's capacity is allowed once the bucket is full.
		const reservedBytes = Math.min(this.#linkBudget.burstBytes, neededBytes);
		if (!this.#linkBudget.canSpend(reservedBytes, nowMs)) {
			return undefined;
		}

		const remote = this.#pickFrom(group.otherRegions, input);
		if (remote !== undefined) {
			remote.reservedBytes += reservedBytes;
			this.#linkBudget.spend(reservedBytes);
		}

		return remote;
	}

	#pickFrom(entries: readonly ServerEntry[], input: PickInput): ServerEntry | undefined {
		switch (this.#routingKind) {
			case 'measured': {
				return pickByCost(entries, input);
			}

			case 'roundRobin': {
				this.#roundRobinTurn += 1;
				return pickRoundRobin(entries, input, this.#roundRobinTurn);
			}
		}
	}

	/** Finds the reason why no server could be selected. */
	#findRefusalReason(group: ServerGroup, request: RouteRequest): NotRunReason {
		if (!this.#readRule(request.service).otherRegion) {
			return notRunReasons.noServer;
		}

		for (const entry of group.otherRegions) {
			if (entry.isUsable && !request.excluded.has(entry.member.server)) {
				return notRunReasons.linkBudget;
			}
		}

		return notRunReasons.noServer;
	}

	#readRule(service: string): ServiceRule {
		return this.#rules.get(service) ?? defaultRule;
	}
}

function createRefusal(reason: NotRunReason): RouteChoice {
	return {kind: 'refused', reason};
}

/** Selects one given instance, for calls that only this instance may run. */
function chooseInstance(
	group: ServerGroup,
	instanceId: string,
	request: RouteRequest,
): RouteChoice {
	const entry = group.findEntryByInstanceId(instanceId);
	if (entry === undefined || entry.member.state === 'dead') {
		return createRefusal(notRunReasons.wrongInstance);
	}

	if (!entry.isUsable) {
		return createRefusal(notRunReasons.draining);
	}

	if (request.excluded.has(entry.member.server)) {
		return createRefusal(notRunReasons.noServer);
	}

	return {kind: 'server', member: entry.member};
}
