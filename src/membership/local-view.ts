/**
 * What one daemon knows of the members and has still to tell.
 */
import {type PolicyHead} from '../policy/types.ts';
import {DeltaQueue} from './delta-queue.ts';
import {MemberTable} from './member-table.ts';
import {type Envelope} from './messages.ts';
import {Reachability} from './reachability.ts';
import {SelfRecord} from './self.ts';
import {gossipLimits} from './settings.ts';
import {type Member} from './types.ts';

/** What has changed since the last look. */
export type ViewChanges = {
	/** Servers that were not known before. */
	readonly added: readonly string[];
	readonly isChanged: boolean;
	/** True when a member is leaving, which others should hear at once. */
	readonly isUrgent: boolean;
	/** Other instances that claim the own server's name. */
	readonly rivals: readonly Member[];
};

export class LocalView {
	/**
	 * @example
	 * const view = LocalView.create(self, {version: 0, digest: ''});
	 */
	static create(self: Member, policy: PolicyHead): LocalView {
		return new LocalView(self, policy);
	}

	readonly table = MemberTable.create();
	readonly self: SelfRecord;
	readonly reachability: Reachability;
	readonly #deltas = DeltaQueue.create(gossipLimits.sendsPerDoubling);
	#added: string[] = [];
	#rivals: Member[] = [];
	#isChanged = false;
	#isUrgent = false;

	private constructor(self: Member, policy: PolicyHead) {
		this.self = SelfRecord.create(self, policy);
		this.reachability = Reachability.create(self.dataCentre);
		this.table.merge(self, 0);
	}

	/** Returns what has changed since the last call. */
	releaseChanges(): ViewChanges {
		const changes = {
			added: this.#added,
			isChanged: this.#isChanged,
			isUrgent: this.#isUrgent,
			rivals: this.#rivals,
		};
		this.#added = [];
		this.#rivals = [];
		this.#isChanged = false;
		this.#isUrgent = false;
		return changes;
	}

	/** Takes over what every message carries. */
	receive(envelope: Envelope, nowMs: number): void {
		const {from, policy} = envelope;
		for (const member of envelope.deltas) {
			this.mergeHeard(member, nowMs);
		}

		this.mergeHeard(from, nowMs);
		this.table.setPolicyVersion(from.server, from.instanceId, policy.version);
	}

	/** Merges a record that another daemon sent, which may be about the own server. */
	mergeHeard(member: Member, nowMs: number): void {
		if (member.server !== this.self.member.server) {
			this.merge(member, nowMs);
			return;
		}

		const verdict = this.self.receive(member);
		switch (verdict.kind) {
			case 'known': {
				return;
			}

			case 'refuted': {
				this.merge(this.self.member, nowMs);
				return;
			}

			case 'rival': {
				this.#rivals.push(verdict.rival);
			}
		}
	}

	/**
	 * Merges a record from another daemon's table. Others hold the records of healthy members already
	 * or get them by their own comparison, so only the rest is told on.
	 */
	mergeSynced(member: Member, nowMs: number): void {
		const isHealthy = member.state === 'serving' || member.state === 'cold';
		if (isHealthy && member.server !== this.self.member.server) {
			this.#take(member, nowMs);
			return;
		}

		this.mergeHeard(member, nowMs);
	}

	/** Merges a record, and tells others of it when it is news. */
	merge(member: Member, nowMs: number): void {
		if (this.#take(member, nowMs)) {
			this.#deltas.add(member.server);
			this.#isUrgent ||= member.state === 'leaving';
		}
	}

	/** Notes an answer from a data centre. */
	recordAnswer(dataCentre: string, nowMs: number): void {
		const isBack = this.reachability.recordAnswer(dataCentre, nowMs);
		this.#isChanged ||= isBack;
	}

	/** Notes that a member of another data centre did not answer; the dead need not. */
	recordSilence(target: Member, nowMs: number): void {
		const {server, dataCentre} = target;
		const known = this.table.findMember(server);
		if (known?.instanceId !== target.instanceId || known.state === 'dead') {
			return;
		}

		const memberCount = this.table.findServers(dataCentre).size;
		const isCut = this.reachability.recordSilence({dataCentre, server, memberCount}, nowMs);
		this.#isChanged ||= isCut;
	}

	/** Forgets the long dead, and the members of data centres that were cut off for long. */
	prune(nowMs: number): void {
		const {deadRetentionMs, cutRetentionMs} = gossipLimits;
		for (const server of this.table.dead) {
			const sinceMs = this.table.findEntry(server)?.sinceMs ?? nowMs;
			if (nowMs - sinceMs >= deadRetentionMs) {
				this.#forget(server);
			}
		}

		for (const dataCentre of this.table.dataCentres) {
			if (!this.reachability.isCutFor(dataCentre, cutRetentionMs, nowMs)) {
				continue;
			}

			for (const server of this.table.findServers(dataCentre)) {
				this.#forget(server);
			}
		}
	}

	/** Creates the common part of a message; a receiver in doubt hears what is thought of it. */
	createEnvelope(to?: Member): Envelope {
		const servers = this.#deltas.pick(gossipLimits.deltasPerMessage, this.table.liveCount);
		const about = to && this.table.findMember(to.server);
		const isWrong = about && (about.instanceId !== to.instanceId || isDoubted(about));
		if (isWrong && !servers.includes(about.server)) {
			servers.push(about.server);
		}

		const deltas: Member[] = [];
		for (const server of servers) {
			const member = this.table.findMember(server);
			if (member && member.server !== this.self.member.server) {
				deltas.push(member);
			}
		}

		return {from: this.self.member, policy: this.self.policy, deltas};
	}

	/** Takes a record into the table; false when the known one stands. */
	#take(member: Member, nowMs: number): boolean {
		const isKnown = this.table.findMember(member.server) !== undefined;
		if (!this.table.merge(member, nowMs)) {
			return false;
		}

		this.#isChanged = true;
		if (!isKnown) {
			this.#added.push(member.server);
		}

		return true;
	}

	#forget(server: string): void {
		if (server === this.self.member.server) {
			return;
		}

		this.table.remove(server);
		this.#deltas.remove(server);
		this.#isChanged = true;
	}
}

/** Tells whether a member has to hear of its own record in order to refute it. */
function isDoubted(member: Member): boolean {
	return member.state === 'suspect' || member.state === 'dead';
}
