/**
 * One daemon's view of the membership, and the changes that it still has to gossip.
 */
import {type PolicyHead} from '../policy/types.ts';
import {DeltaQueue} from './delta-queue.ts';
import {MemberTable} from './member-table.ts';
import {type Envelope} from './messages.ts';
import {Reachability} from './reachability.ts';
import {SelfRecord} from './self.ts';
import {gossipLimits} from './settings.ts';
import {type Member} from './types.ts';

/** Changes of the view since the last call of `drainChanges`. */
export type ViewChanges = {
	/** Names of servers that were not known before. */
	readonly addedServers: readonly string[];
	readonly areMembersChanged: boolean;
	/** True when a member started to leave; this change is pushed to other members at once. */
	readonly isUrgent: boolean;
	/** Other instances that use the local server's name. */
	readonly conflictingInstances: readonly Member[];
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
	#addedServers: string[] = [];
	#conflictingInstances: Member[] = [];
	#areMembersChanged = false;
	#isUrgent = false;

	private constructor(self: Member, policy: PolicyHead) {
		this.self = SelfRecord.create(self, policy);
		this.reachability = Reachability.create(self.dataCentre);
		this.table.merge(self, 0);
	}

	/** Returns the changes since the last call and resets them. */
	drainChanges(): ViewChanges {
		const changes = {
			addedServers: this.#addedServers,
			areMembersChanged: this.#areMembersChanged,
			isUrgent: this.#isUrgent,
			conflictingInstances: this.#conflictingInstances,
		};
		this.#addedServers = [];
		this.#conflictingInstances = [];
		this.#areMembersChanged = false;
		this.#isUrgent = false;
		return changes;
	}

	/** Merges the fields that every message carries. */
	receive(envelope: Envelope, nowMs: number): void {
		const {from, policy} = envelope;
		for (const member of envelope.deltas) {
			this.mergeReceived(member, nowMs);
		}

		this.mergeReceived(from, nowMs);
		this.table.setPolicyVersion(from.server, from.instanceId, policy.version);
	}

	/** Merges a record that another daemon sent, which may be that of the local server. */
	mergeReceived(member: Member, nowMs: number): void {
		if (member.server !== this.self.member.server) {
			this.merge(member, nowMs);
			return;
		}

		const result = this.self.reconcile(member);
		switch (result.kind) {
			case 'unchanged': {
				return;
			}

			case 'refuted': {
				this.merge(this.self.member, nowMs);
				return;
			}

			case 'nameConflict': {
				this.#conflictingInstances.push(result.conflictingInstance);
			}
		}
	}

	/**
	 * Merges a record from another daemon's table. Records of healthy members are not gossiped
	 * further, since other daemons have them already or get them through their own anti-entropy
	 * syncs.
	 */
	mergeSynced(member: Member, nowMs: number): void {
		const isHealthy = member.state === 'serving' || member.state === 'cold';
		if (isHealthy && member.server !== this.self.member.server) {
			this.#mergeIntoTable(member, nowMs);
			return;
		}

		this.mergeReceived(member, nowMs);
	}

	/** Merges a record, and queues it for gossip when it changes the table. */
	merge(member: Member, nowMs: number): void {
		if (this.#mergeIntoTable(member, nowMs)) {
			this.#deltas.add(member.server);
			this.#isUrgent ||= member.state === 'leaving';
		}
	}

	/** Records an answer from a data centre. */
	recordAnswer(dataCentre: string, nowMs: number): void {
		const wasUnreachable = this.reachability.recordAnswer(dataCentre, nowMs);
		this.#areMembersChanged ||= wasUnreachable;
	}

	/**
	 * Records an unanswered ping to a member of a remote data centre; dead and replaced members don't
	 * count.
	 */
	recordPingFailure(target: Member, nowMs: number): void {
		const {server, dataCentre} = target;
		const known = this.table.findMember(server);
		if (known?.instanceId !== target.instanceId || known.state === 'dead') {
			return;
		}

		const memberCount = this.table.findServers(dataCentre).size;
		const isUnreachable = this.reachability.recordFailure({dataCentre, server, memberCount}, nowMs);
		this.#areMembersChanged ||= isUnreachable;
	}

	/**
	 * Removes dead members, and the members of unreachable data centres, after their retention times.
	 */
	prune(nowMs: number): void {
		const {deadRetentionMs, unreachableRetentionMs} = gossipLimits;
		for (const server of this.table.dead) {
			const sinceMs = this.table.findEntry(server)?.sinceMs ?? nowMs;
			if (nowMs - sinceMs >= deadRetentionMs) {
				this.#remove(server);
			}
		}

		for (const dataCentre of this.table.dataCentres) {
			if (!this.reachability.isUnreachableFor(dataCentre, unreachableRetentionMs, nowMs)) {
				continue;
			}

			for (const server of this.table.findServers(dataCentre)) {
				this.#remove(server);
			}
		}
	}

	/**
	 * Creates the common part of a message. A receiver that is known as suspect, as dead or as
	 * another instance also gets its own record, so that it can refute it.
	 */
	createEnvelope(to?: Member): Envelope {
		const servers = this.#deltas.pick(gossipLimits.deltasPerMessage, this.table.liveCount);
		const receiver = to && this.table.findMember(to.server);
		const mayRefute =
			receiver && (receiver.instanceId !== to.instanceId || isSuspectOrDead(receiver));
		if (mayRefute && !servers.includes(receiver.server)) {
			servers.push(receiver.server);
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

	/** Merges a record into the table; returns false when the known one is kept. */
	#mergeIntoTable(member: Member, nowMs: number): boolean {
		const isKnown = this.table.findMember(member.server) !== undefined;
		if (!this.table.merge(member, nowMs)) {
			return false;
		}

		this.#areMembersChanged = true;
		if (!isKnown) {
			this.#addedServers.push(member.server);
		}

		return true;
	}

	#remove(server: string): void {
		if (server === this.self.member.server) {
			return;
		}

		this.table.remove(server);
		this.#deltas.remove(server);
		this.#areMembersChanged = true;
	}
}

function isSuspectOrDead(member: Member): boolean {
	return member.state === 'suspect' || member.state === 'dead';
}
