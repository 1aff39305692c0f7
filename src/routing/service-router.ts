/**
 * Chooses a server for each call of one daemon, from its own measurements.
 */
import {notRunReasons, type NotRunReason} from '../call/types.ts';
import {type Member} from '../membership/types.ts';
import {type Policy} from '../policy/schema.ts';
import {LinkBudget} from './link-budget.ts';
import {countAlive, listByService} from './member-lists.ts';
import {type ServerEntry, type Strictness} from './server-entry.ts';
import {ServiceGroup, type Location} from './service-group.ts';
import {pickInTurn, pickOfTwo, type PickInput, type RandomSource} from './two-choices.ts';
import {type AttemptResult, type RouteChoice, type RouteRequest, type Router} from './types.ts';

export type RouterOptions = Location & {
	/** Uniform in [0, 1), seeded where runs must repeat. */
	readonly random: RandomSource;
};

/** The part of a service's policy that routing needs. */
type ServiceRule = {readonly otherRegion: boolean; readonly maxEjectedShare: number};

const defaultRule: ServiceRule = {otherRegion: false, maxEjectedShare: 0.3};
const defaultLink = {bitsPerSecond: 30_000_000, callShare: 0.8} as const;

/** Two random choices by cost, near servers first, with ejection, slow start and a link budget. */
export class ServiceRouter implements Router {
	/**
	 * @example
	 * const router = ServiceRouter.create({dataCentre: 'est-a', region: 'qc-est', random});
	 */
	static create(options: RouterOptions): ServiceRouter {
		return new ServiceRouter(options);
	}

	readonly #groups = new Map<string, ServiceGroup>();
	readonly #rules = new Map<string, ServiceRule>();
	readonly #budget: LinkBudget;
	#link: {readonly bitsPerSecond: number; readonly callShare: number} = defaultLink;
	#regionMembers = 1;
	#kind: Policy['routing']['kind'] = 'measured';
	#turn = 0;

	private constructor(private readonly options: RouterOptions) {
		this.#budget = LinkBudget.create({...defaultLink, memberCount: 1});
	}

	/**
	 * Replaces the members. What was measured of instances that stay is kept.
	 *
	 * @example
	 * router.setMembers(members, nowMs);
	 */
	setMembers(members: readonly Member[], nowMs: number): void {
		const byService = listByService(members);
		for (const service of this.#groups.keys()) {
			if (!byService.has(service)) {
				this.#groups.delete(service);
			}
		}

		for (const [service, list] of byService) {
			const group = this.#groups.get(service) ?? ServiceGroup.create(this.options);
			group.setMembers(list, nowMs);
			group.releaseSurplus(this.#readRule(service).maxEjectedShare, nowMs);
			this.#groups.set(service, group);
		}

		this.#regionMembers = countAlive(members, this.options.region);
		this.#budget.setShare({...this.#link, memberCount: this.#regionMembers});
	}

	/**
	 * Puts the routing rules of a policy in force.
	 *
	 * @example
	 * router.applyPolicy(policy);
	 */
	applyPolicy(policy: Policy): void {
		this.#rules.clear();
		for (const {name, otherRegion, maxEjectedShare} of policy.services) {
			this.#rules.set(name, {otherRegion, maxEjectedShare});
		}

		this.#kind = policy.routing.kind;
		this.#link = policy.link;
		this.#budget.setShare({...policy.link, memberCount: this.#regionMembers});
	}

	/**
	 * Chooses a server. Each choice must be followed by `recordStart` and `recordResult`.
	 *
	 * @example
	 * const choice = router.choose(request, nowMs);
	 */
	choose(request: RouteRequest, nowMs: number): RouteChoice {
		const group = this.#groups.get(request.service);
		if (group === undefined) {
			return refuse(notRunReasons.noServer);
		}

		if (request.onlyInstanceId !== undefined) {
			return chooseInstance(group, request.onlyInstanceId, request);
		}

		// Two passes: the second also takes servers that are ejected, suspected or shedding.
		const strict =
			this.#kind === 'measured' ? this.#pick(group, request, nowMs, 'strict') : undefined;
		if (strict !== undefined) {
			return {kind: 'server', member: strict.member};
		}

		const relaxed = this.#pick(group, request, nowMs, 'relaxed');
		if (relaxed !== undefined) {
			return {kind: 'server', member: relaxed.member};
		}

		return refuse(this.#findRefusal(group, request));
	}

	/**
	 * Counts an attempt as in flight.
	 *
	 * @example
	 * router.recordStart(choice.member, nowMs);
	 */
	recordStart(member: Member, nowMs: number): void {
		this.#groups.get(member.service)?.findEntry(member)?.recordStart(nowMs);
	}

	/**
	 * Learns from the end of an attempt. Results of instances that are gone have no effect.
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
			this.#budget.spend(bytes - reserved);
		}

		group.recordResult(entry, result, nowMs, this.#readRule(member.service).maxEjectedShare);
	}

	/**
	 * Milliseconds after which an idempotent call may be hedged.
	 *
	 * @returns undefined until enough was measured
	 * @example
	 * router.readHedgeDelayMs('catalogue', 'order-status');
	 */
	readHedgeDelayMs(service: string, callName: string): number | undefined {
		return this.#groups.get(service)?.findKind(callName)?.hedgeDelayMs;
	}

	/**
	 * Milliseconds that an answer usually takes; 0 until measured.
	 *
	 * @example
	 * router.readUsualMs('catalogue', 'order-status');
	 */
	readUsualMs(service: string, callName: string): number {
		return this.#groups.get(service)?.findKind(callName)?.meanMs ?? 0;
	}

	/**
	 * Tells whether most attempts at a service are refused for overload at present.
	 *
	 * @example
	 * router.isOverloaded('catalogue', nowMs);
	 */
	isOverloaded(service: string, nowMs: number): boolean {
		return this.#groups.get(service)?.isOverloaded(nowMs) ?? false;
	}

	/**
	 * Counts the usable servers of a service that a call has not tried.
	 *
	 * @example
	 * router.countUntried('catalogue', excluded);
	 */
	countUntried(service: string, excluded: ReadonlySet<string>): number {
		return this.#groups.get(service)?.countUntried(excluded) ?? 0;
	}

	/**
	 * Counts the servers of a service that are ejected or on trial.
	 *
	 * @example
	 * router.countEjected('catalogue');
	 */
	countEjected(service: string): number {
		return this.#groups.get(service)?.countEjected() ?? 0;
	}

	#pick(
		group: ServiceGroup,
		request: RouteRequest,
		nowMs: number,
		strictness: Strictness,
	): ServerEntry | undefined {
		const {random} = this.options;
		const input: PickInput = {request, nowMs, usual: group.readUsual(), random, strictness};
		const home = this.#pickInTier(group.near, input) ?? this.#pickInTier(group.regional, input);
		if (home !== undefined || !this.#readRule(request.service).otherRegion) {
			return home;
		}

		if (!this.#budget.hasRoom(request.expectedBytes, nowMs)) {
			return undefined;
		}

		const remote = this.#pickInTier(group.remote, input);
		if (remote !== undefined) {
			remote.reservedBytes += request.expectedBytes;
			this.#budget.spend(request.expectedBytes);
		}

		return remote;
	}

	#pickInTier(entries: readonly ServerEntry[], input: PickInput): ServerEntry | undefined {
		switch (this.#kind) {
			case 'measured': {
				return pickOfTwo(entries, input);
			}

			case 'roundRobin': {
				this.#turn += 1;
				return pickInTurn(entries, input, this.#turn);
			}
		}
	}

	/** Finds why no server could be chosen. */
	#findRefusal(group: ServiceGroup, request: RouteRequest): NotRunReason {
		if (!this.#readRule(request.service).otherRegion) {
			return notRunReasons.noServer;
		}

		for (const entry of group.remote) {
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

function refuse(reason: NotRunReason): RouteChoice {
	return {kind: 'refused', reason};
}

/** Chooses one given instance, for calls that only it may run. */
function chooseInstance(
	group: ServiceGroup,
	instanceId: string,
	request: RouteRequest,
): RouteChoice {
	const entry = group.findInstance(instanceId);
	if (entry === undefined || entry.member.state === 'dead') {
		return refuse(notRunReasons.wrongInstance);
	}

	if (!entry.isUsable) {
		return refuse(notRunReasons.draining);
	}

	if (request.excluded.has(entry.member.server)) {
		return refuse(notRunReasons.noServer);
	}

	return {kind: 'server', member: entry.member};
}
