/**
 * A daemon's own record, which only the daemon itself raises.
 */
import {type PolicyHead} from '../policy/types.ts';
import {compareRecords} from './precedence.ts';
import {type Member, type MemberState} from './types.ts';

/** What a record about the own server, heard from elsewhere, means. */
export type SelfVerdict =
	| {readonly kind: 'known'}
	/** The own record was raised above what was heard. */
	| {readonly kind: 'refuted'}
	/** Another instance claims the server's name with a later start. */
	| {readonly kind: 'rival'; readonly rival: Member};

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

	/** From now on a later start under the same name belongs to a replacement. */
	setJoined(): void {
		this.#isJoined = true;
	}

	get isJoined(): boolean {
		return this.#isJoined;
	}

	setState(state: MemberState): void {
		this.record = {...this.record, state, incarnation: this.record.incarnation + 1};
	}

	/** Notes the policy in force; throws when its version falls. */
	setPolicy(policy: PolicyHead): void {
		if (policy.version < this.head.version) {
			throw new Error(`policy version fell from ${this.head.version} to ${policy.version}`);
		}

		this.head = policy;
		this.record = {...this.record, policyVersion: policy.version};
	}

	/**
	 * Compares a record about the own server with the own record and raises the own one where needed.
	 *
	 * @example
	 * const verdict = self.receive(record);
	 */
	receive(heard: Member): SelfVerdict {
		if (compareRecords(heard, this.record) <= 0) {
			return {kind: 'known'};
		}

		if (heard.instanceId === this.record.instanceId) {
			this.record = {...this.record, incarnation: heard.incarnation + 1};
			return {kind: 'refuted'};
		}

		if (this.#isJoined && heard.state !== 'dead') {
			return {kind: 'rival', rival: heard};
		}

		this.raiseStart(heard);
		return {kind: 'refuted'};
	}

	/** Puts the own start after that of an instance which runs no more. */
	raiseStart(former: Member): void {
		const startedAtMs = Math.max(this.record.startedAtMs, former.startedAtMs + 1);
		this.record = {...this.record, startedAtMs, incarnation: this.record.incarnation + 1};
	}
}
