/**
 * The servers of one service, sorted into tiers by distance from this daemon.
 */
import {type Member} from '../membership/types.ts';
import {CallKind} from './call-kind.ts';
import {countEjected, OutlierEjection} from './outlier-ejection.ts';
import {ServerEntry, type UsualLatency} from './server-entry.ts';
import {type AttemptResult} from './types.ts';

/** Where this daemon is. */
export type Location = {readonly dataCentre: string; readonly region: string};

/** Kinds of call measured apart; further ones share one estimate. */
const maxCallKinds = 64;
const sharedKind = '*';
/** Part of the longest kind's mean that is left after each answer of a shorter one. */
const longestKept = 0.999;
const refusalWeight = 0.05;
/** Share of attempts refused above which the service counts as overloaded. */
const overloadedShare = 0.5;
/** Time after the last attempt in which the share of refusals still counts. */
const overloadMemoryMs = 1000;

/** Aggregate of one service as this daemon sees it. */
export class ServiceGroup {
	/**
	 * @example
	 * const group = ServiceGroup.create({dataCentre: 'est-a', region: 'qc-est'});
	 */
	static create(location: Location): ServiceGroup {
		return new ServiceGroup(location);
	}

	/** Servers of the own data centre. */
	readonly near: ServerEntry[] = [];
	/** Servers of other data centres of the own region. */
	readonly regional: ServerEntry[] = [];
	/** Servers of the own region, own data centre included. */
	readonly home: ServerEntry[] = [];
	/** Servers of other regions. */
	readonly remote: ServerEntry[] = [];
	readonly homeEjection = OutlierEjection.create();
	readonly remoteEjection = OutlierEjection.create();
	readonly #kinds = new Map<string, CallKind>();
	readonly #entries = new Map<string, ServerEntry>();
	readonly #location: Location;
	#longestMs = 0;
	#refusedShare = 0;
	#refusedAtMs = Number.NEGATIVE_INFINITY;

	private constructor(location: Location) {
		this.#location = location;
	}

	get isEmpty(): boolean {
		return this.#entries.size === 0;
	}

	/**
	 * Finds what was measured of one kind of call.
	 *
	 * @example
	 * const delayMs = group.findKind('order-status')?.hedgeDelayMs;
	 */
	findKind(callName: string): CallKind | undefined {
		return this.#kinds.get(callName) ?? this.#kinds.get(sharedKind);
	}

	/**
	 * Reads what the servers of the own region usually take.
	 *
	 * @example
	 * const cost = entry.computeCost(nowMs, group.readUsual());
	 */
	readUsual(): UsualLatency {
		return {relative: this.homeEjection.median, longestMs: this.#longestMs};
	}

	/**
	 * Replaces the servers. What was measured of an instance that stays is kept.
	 *
	 * @example
	 * group.setMembers(members, nowMs);
	 */
	setMembers(members: readonly Member[], nowMs: number): void {
		const isFirst = this.isEmpty;
		const previous = new Map(this.#entries);
		this.#entries.clear();
		for (const member of members) {
			const known = previous.get(member.server);
			if (known?.member.instanceId === member.instanceId) {
				known.setMember(member, nowMs);
				this.#entries.set(member.server, known);
				continue;
			}

			const isWarm = isFirst && member.state !== 'cold';
			this.#entries.set(member.server, ServerEntry.create(member, isWarm ? undefined : nowMs));
		}

		this.#fillTiers();
	}

	/**
	 * Finds the entry of exactly this instance.
	 *
	 * @example
	 * const entry = group.findEntry(member);
	 */
	findEntry(member: Member): ServerEntry | undefined {
		const entry = this.#entries.get(member.server);
		return entry?.member.instanceId === member.instanceId ? entry : undefined;
	}

	/**
	 * Finds an entry by the instance alone.
	 *
	 * @example
	 * const entry = group.findInstance('i-1');
	 */
	findInstance(instanceId: string): ServerEntry | undefined {
		for (const entry of this.#entries.values()) {
			if (entry.member.instanceId === instanceId) {
				return entry;
			}
		}

		return undefined;
	}

	/**
	 * Counts the usable servers that are not excluded.
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
	 * Counts the servers that are ejected or on trial.
	 *
	 * @example
	 * group.countEjected();
	 */
	countEjected(): number {
		return countEjected(this.home) + countEjected(this.remote);
	}

	/**
	 * Takes in the end of an attempt at one of the group's servers.
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
		const isHome = entry.member.region === this.#location.region;
		const ejection = isHome ? this.homeEjection : this.remoteEjection;
		const isTrial = entry.ejection.kind === 'trial';
		const kind = this.#openKind(result.callName);
		const sample = {latencyMs: result.latencyMs, usualMs: kind.meanMs};
		// A cancelled attempt would have taken longer still, so that being late is enough.
		const isSlow =
			result.kind === 'cancelled'
				? result.latencyMs > (kind.hedgeDelayMs ?? Number.POSITIVE_INFINITY)
				: ejection.isSlow(sample);
		entry.recordResult(result, kind.computeRelative(result.latencyMs), nowMs);
		this.#recordRefusal(result, nowMs);
		if (result.kind === 'answered' || (result.kind === 'cancelled' && isSlow)) {
			ejection.recordSpeed(entry, isSlow, nowMs - result.latencyMs);
		}

		if (result.kind === 'answered') {
			kind.record(result.latencyMs);
			this.#longestMs = Math.max(this.#longestMs * longestKept, kind.meanMs);
		}

		if (isTrial && (result.kind !== 'cancelled' || isSlow)) {
			const isHealthy = result.kind === 'answered' || result.kind === 'refused';
			ejection.settleTrial(entry, isHealthy && !isSlow, nowMs);
		}

		ejection.apply(isHome ? this.home : this.remote, maxEjectedShare, nowMs);
	}

	/**
	 * Tells whether most attempts are refused for overload at present.
	 *
	 * @example
	 * group.isOverloaded(nowMs);
	 */
	isOverloaded(nowMs: number): boolean {
		return this.#refusedShare > overloadedShare && nowMs - this.#refusedAtMs < overloadMemoryMs;
	}

	/**
	 * Takes servers back where members left and more are ejected than the share allows.
	 *
	 * @example
	 * group.releaseSurplus(0.3, nowMs);
	 */
	releaseSurplus(maxEjectedShare: number, nowMs: number): void {
		this.homeEjection.releaseSurplus(this.home, maxEjectedShare, nowMs);
		this.remoteEjection.releaseSurplus(this.remote, maxEjectedShare, nowMs);
	}

	#openKind(callName: string): CallKind {
		const known = this.#kinds.get(callName);
		if (known !== undefined) {
			return known;
		}

		const name = this.#kinds.size < maxCallKinds ? callName : sharedKind;
		const kind = this.#kinds.get(name) ?? CallKind.create();
		this.#kinds.set(name, kind);
		return kind;
	}

	#recordRefusal(result: AttemptResult, nowMs: number): void {
		if (result.kind === 'cancelled' || result.report?.state === 'draining') {
			return;
		}

		const value = result.kind === 'refused' ? 1 : 0;
		this.#refusedShare += refusalWeight * (value - this.#refusedShare);
		if (value === 1) {
			this.#refusedAtMs = nowMs;
		}
	}

	#fillTiers(): void {
		for (const tier of [this.near, this.regional, this.home, this.remote]) {
			tier.length = 0;
		}

		for (const entry of this.#entries.values()) {
			const {dataCentre, region} = entry.member;
			if (region !== this.#location.region) {
				this.remote.push(entry);
				continue;
			}

			this.home.push(entry);
			const tier = dataCentre === this.#location.dataCentre ? this.near : this.regional;
			tier.push(entry);
		}
	}
}
