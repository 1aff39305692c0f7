/**
 * The servers of one service, grouped into tiers by their distance from this daemon, with the
 * statistics of the service.
 */
import {type Member} from '../membership/types.ts';
import {CallStats} from './call-stats.ts';
import {countEjected, OutlierEjection} from './outlier-ejection.ts';
import {ServerEntry, type PeerLatency} from './server-entry.ts';
import {type AttemptResult} from './types.ts';

/** Data centre and region of this daemon. */
export type Locality = {readonly dataCentre: string; readonly region: string};

/** Number of call names with separate statistics; all further names share one entry. */
const maxTrackedCallNames = 64;
const overflowCallName = '*';
/** Factor applied per answer to the longest mean latency, so that it can decrease over time. */
const longestMeanDecay = 0.999;
/** Weight of one result in the share of refusals. */
const refusalWeight = 0.05;
/** Share of refused attempts above which the service is considered overloaded. */
const overloadedShare = 0.5;
/** Time after the latest refusal for which the share of refusals is used. */
const overloadWindowMs = 1000;

/** Servers and statistics of one service, as seen by this daemon. */
export class ServerGroup {
	/**
	 * @example
	 * const group = ServerGroup.create({dataCentre: 'est-a', region: 'qc-est'});
	 */
	static create(locality: Locality): ServerGroup {
		return new ServerGroup(locality);
	}

	/** Servers in the own data centre. */
	readonly ownDataCentre: ServerEntry[] = [];
	/** Servers in other data centres of the own region. */
	readonly otherDataCentres: ServerEntry[] = [];
	/** All servers in the own region, including the own data centre. */
	readonly ownRegion: ServerEntry[] = [];
	/** Servers in other regions. */
	readonly otherRegions: ServerEntry[] = [];
	readonly ownRegionEjection = OutlierEjection.create();
	readonly otherRegionsEjection = OutlierEjection.create();
	readonly #callStats = new Map<string, CallStats>();
	readonly #entries = new Map<string, ServerEntry>();
	readonly #locality: Locality;
	#longestMeanMs = 0;
	#refusedShare = 0;
	#lastRefusedAtMs = Number.NEGATIVE_INFINITY;

	private constructor(locality: Locality) {
		this.#locality = locality;
	}

	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/**
	 * Finds the statistics of one kind of call, or those shared by the untracked call names.
	 *
	 * @example
	 * const delayMs = group.findCallStats('order-status')?.hedgeDelayMs;
	 */
	findCallStats(callName: string): CallStats | undefined {
		return this.#callStats.get(callName) ?? this.#callStats.get(overflowCallName);
	}

	/**
	 * Reads the latency of the servers of the own region, for comparison with one server.
	 *
	 * @example
	 * const cost = entry.computeCost(nowMs, group.readPeerLatency());
	 */
	readPeerLatency(): PeerLatency {
		return {
			medianRelative: this.ownRegionEjection.medianRelativeLatency,
			longestMeanMs: this.#longestMeanMs,
		};
	}

	/**
	 * Replaces the servers. Instances that remain keep their measurements. Instances that join later
	 * or are cold begin with slow start.
	 *
	 * @example
	 * group.setMembers(members, nowMs);
	 */
	setMembers(members: readonly Member[], nowMs: number): void {
		const wasEmpty = this.isEmpty;
		const previous = new Map(this.#entries);
		this.#entries.clear();
		for (const member of members) {
			const previousEntry = previous.get(member.server);
			if (previousEntry?.member.instanceId === member.instanceId) {
				previousEntry.setMember(member, nowMs);
				this.#entries.set(member.server, previousEntry);
				continue;
			}

			const isWarm = wasEmpty && member.state !== 'cold';
			this.#entries.set(member.server, ServerEntry.create(member, isWarm ? undefined : nowMs));
		}

		this.#sortIntoTiers();
	}

	/**
	 * Finds the entry of a member; undefined if its server now runs another instance.
	 *
	 * @example
	 * const entry = group.findEntry(member);
	 */
	findEntry(member: Member): ServerEntry | undefined {
		const entry = this.#entries.get(member.server);
		return entry?.member.instanceId === member.instanceId ? entry : undefined;
	}

	/**
	 * Finds an entry by its instance id.
	 *
	 * @example
	 * const entry = group.findEntryByInstanceId('i-1');
	 */
	findEntryByInstanceId(instanceId: string): ServerEntry | undefined {
		for (const entry of this.#entries.values()) {
			if (entry.member.instanceId === instanceId) {
				return entry;
			}
		}

		return undefined;
	}

	/**
	 * Counts the usable servers that are not in `excluded`.
	 *
	 * @example
	 * group.countUntried(new Set(['s-1']));
	 */
	countUntried(excluded: ReadonlySet<string>): number {
		let count = 0;
		for (const entry of this.#entries.values()) {
			count += entry.isUsable && !excluded.has(entry.member.server) ? 1 : 0;
		}

		return count;
	}

	/**
	 * Counts the servers that are ejected or in their trial call.
	 *
	 * @example
	 * group.countEjected();
	 */
	countEjected(): number {
		return countEjected(this.ownRegion) + countEjected(this.otherRegions);
	}

	/**
	 * Records the result of an attempt at one of the group's servers and updates the ejections.
	 *
	 * @param maxEjectedShare - largest share of the servers that may be ejected at once
	 * @example
	 * group.recordResult(entry, result, nowMs, 0.3);
	 */
	recordResult(
		entry: ServerEntry,
		result: AttemptResult,
		nowMs: number,
		maxEjectedShare: number,
	): void {
		const isOwnRegion = entry.member.region === this.#locality.region;
		const ejection = isOwnRegion ? this.ownRegionEjection : this.otherRegionsEjection;
		const isTrial = entry.ejection.kind === 'trial';
		const stats = this.#getOrCreateCallStats(result.callName);
		const sample = {latencyMs: result.latencyMs, meanMs: stats.meanMs};
		// A cancelled attempt would have taken even longer, so exceeding the hedge delay is sufficient.
		const isSlow =
			result.kind === 'cancelled'
				? result.latencyMs > (stats.hedgeDelayMs ?? Number.POSITIVE_INFINITY)
				: ejection.isSlow(sample);
		entry.recordResult(result, stats.computeRelativeLatency(result.latencyMs), nowMs);
		this.#recordRefusal(result, nowMs);
		if (result.kind === 'answered' || (result.kind === 'cancelled' && isSlow)) {
			ejection.recordSlowness(entry, isSlow, nowMs - result.latencyMs);
		}

		if (result.kind === 'answered') {
			stats.record(result.latencyMs, result.bytes);
			this.#longestMeanMs = Math.max(this.#longestMeanMs * longestMeanDecay, stats.meanMs);
		}

		if (isTrial && (result.kind !== 'cancelled' || isSlow)) {
			const isHealthy = result.kind === 'answered' || result.kind === 'refused';
			ejection.finishTrial(entry, isHealthy && !isSlow, nowMs);
		}

		ejection.updateEjections(
			isOwnRegion ? this.ownRegion : this.otherRegions,
			maxEjectedShare,
			nowMs,
		);
	}

	/**
	 * Returns whether most recent attempts were refused for overload.
	 *
	 * @example
	 * group.isOverloaded(nowMs);
	 */
	isOverloaded(nowMs: number): boolean {
		return this.#refusedShare > overloadedShare && nowMs - this.#lastRefusedAtMs < overloadWindowMs;
	}

	/**
	 * Reinstates servers if more are ejected than the share allows, for example after members left.
	 *
	 * @example
	 * group.reinstateSurplus(0.3, nowMs);
	 */
	reinstateSurplus(maxEjectedShare: number, nowMs: number): void {
		this.ownRegionEjection.reinstateSurplus(this.ownRegion, maxEjectedShare, nowMs);
		this.otherRegionsEjection.reinstateSurplus(this.otherRegions, maxEjectedShare, nowMs);
	}

	#getOrCreateCallStats(callName: string): CallStats {
		const existing = this.#callStats.get(callName);
		if (existing !== undefined) {
			return existing;
		}

		const name = this.#callStats.size < maxTrackedCallNames ? callName : overflowCallName;
		const stats = this.#callStats.get(name) ?? CallStats.create();
		this.#callStats.set(name, stats);
		return stats;
	}

	#recordRefusal(result: AttemptResult, nowMs: number): void {
		if (result.kind === 'cancelled' || result.report?.state === 'draining') {
			return;
		}

		const refused = result.kind === 'refused' ? 1 : 0;
		this.#refusedShare += refusalWeight * (refused - this.#refusedShare);
		if (refused === 1) {
			this.#lastRefusedAtMs = nowMs;
		}
	}

	#sortIntoTiers(): void {
		for (const tier of [
			this.ownDataCentre,
			this.otherDataCentres,
			this.ownRegion,
			this.otherRegions,
		]) {
			tier.length = 0;
		}

		for (const entry of this.#entries.values()) {
			const {dataCentre, region} = entry.member;
			if (region !== this.#locality.region) {
				this.otherRegions.push(entry);
				continue;
			}

			this.ownRegion.push(entry);
			const tier =
				dataCentre === this.#locality.dataCentre ? this.ownDataCentre : this.otherDataCentres;
			tier.push(entry);
		}
	}
}
