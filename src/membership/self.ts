/**
 * The record of the local daemon. Only the daemon itself increments its incarnation.
 */
import {type PolicyHead} from '../policy/types.ts';
import {compareRecords} from './precedence.ts';
import {type Member, type MemberState} from './types.ts';

/** Result of reconciling a received record of the local server with the local record. */
export type ReconcileResult =
	| {readonly kind: 'unchanged'}
	/** The local record was changed to take precedence over the received one. */
	| {readonly kind: 'refuted'}
	/** Another instance with a later start uses the server's name. */
	| {readonly kind: 'nameConflict'; readonly conflictingInstance: Member};

export class SelfRecord {
	/**
	 * @example
	 * const self = SelfRecord.create(member, {version: 0, digest: ''});
	 */
	static create(member: Member, policy: PolicyHead): SelfRecord {
		return new SelfRecord(member, policy);
	}

	#isJoined = false;

	private constructor(
		private record: Member,
		private head: PolicyHead,
	) {}

	get member(): Member {
		return this.record;
	}

	get policy(): PolicyHead {
		return this.head;
	}

	/** After joining, another instance with the same name and a later start is a name conflict. */
	setJoined(): void {
		this.#isJoined = true;
	}

	get isJoined(): boolean {
		return this.#isJoined;
	}

	setState(state: MemberState): void {
		this.record = {...this.record, state, incarnation: this.record.incarnation + 1};
	}

	/** Sets the policy in force; throws when its version is lower than the current one. */
	setPolicy(policy: PolicyHead): void {
		if (policy.version < this.head.version) {
			throw new Error(`policy version decreased from ${this.head.version} to ${policy.version}`);
		}

		this.head = policy;
		this.record = {...this.record, policyVersion: policy.version};
	}

	/**
	 * Compares a received record of the local server with the local record, and refutes it where
	 * needed. Before joining, or when the other instance is dead, the local start time is raised
	 * instead of reporting a name conflict.
	 *
	 * @example
	 * const result = self.reconcile(record);
	 */
	reconcile(received: Member): ReconcileResult {
		if (compareRecords(received, this.record) <= 0) {
			return {kind: 'unchanged'};
		}

		if (received.instanceId === this.record.instanceId) {
			this.record = {...this.record, incarnation: received.incarnation + 1};
			return {kind: 'refuted'};
		}

		if (this.#isJoined && received.state !== 'dead') {
			return {kind: 'nameConflict', conflictingInstance: received};
		}

		this.raiseStartTime(received);
		return {kind: 'refuted'};
	}

	/** Moves the local start time past that of an instance that no longer runs. */
	raiseStartTime(formerInstance: Member): void {
		const startedAtMs = Math.max(this.record.startedAtMs, formerInstance.startedAtMs + 1);
		this.record = {...this.record, startedAtMs, incarnation: this.record.incarnation + 1};
	}
}
