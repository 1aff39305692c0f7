/**
 * Marks members that do not answer as suspect, and declares them dead unless they refute it in
 * time.
 */
import {type MemberTable} from './member-table.ts';
import {gossipLimits} from './settings.ts';
import {type Member} from './types.ts';

export class FailureDetector {
	/**
	 * @example
	 * const detector = FailureDetector.create(table, 'est-a');
	 */
	static create(table: MemberTable, dataCentre: string): FailureDetector {
		return new FailureDetector(table, dataCentre);
	}

	/** Grows while no member answers this daemon, since the fault may then be local. */
	#localHealthPenalty = 0;
	#graceUntilMs = 0;

	private constructor(
		private readonly table: MemberTable,
		private readonly dataCentre: string,
	) {}

	/** Time that a member stays suspect before it is declared dead. */
	get suspicionTimeoutMs(): number {
		const {size} = this.table.findServers(this.dataCentre);
		const {minSuspicionTimeoutMs, suspicionTimeoutPerDecadeMs} = gossipLimits;
		const ms = Math.max(minSuspicionTimeoutMs, suspicionTimeoutPerDecadeMs * Math.log10(size + 1));
		return ms * (1 + this.#localHealthPenalty);
	}

	recordAnswer(): void {
		this.#localHealthPenalty = Math.max(0, this.#localHealthPenalty - 1);
	}

	/** Records that neither the pinged member nor any helper answered. */
	recordNoAnswer(): void {
		this.#localHealthPenalty = Math.min(
			gossipLimits.maxLocalHealthPenalty,
			this.#localHealthPenalty + 1,
		);
	}

	/** Gives every suspect the full suspicion timeout again, after this process was paused. */
	restartSuspicionTimeouts(nowMs: number): void {
		this.#graceUntilMs = nowMs + this.suspicionTimeoutMs;
	}

	/**
	 * Creates the record of a member that was reached neither directly nor through helpers:
	 * `suspect`, or `dead` for a leaving member. Undefined when the member has changed since the
	 * ping, or is suspect or dead already.
	 *
	 * @example
	 * const record = detector.createUnreachableRecord(target);
	 */
	createUnreachableRecord(target: Member): Member | undefined {
		const known = this.table.findMember(target.server);
		if (known?.instanceId !== target.instanceId || known.incarnation !== target.incarnation) {
			return undefined;
		}

		switch (known.state) {
			case 'cold':
			case 'serving': {
				return {...known, state: 'suspect'};
			}

			case 'leaving': {
				return {...known, state: 'dead'};
			}

			case 'suspect':
			case 'dead': {
				return undefined;
			}
		}
	}

	/**
	 * Lists `dead` records for suspects of the local data centre whose suspicion timeout has elapsed.
	 */
	listExpiredSuspects(nowMs: number): Member[] {
		if (nowMs < this.#graceUntilMs) {
			return [];
		}

		const expired: Member[] = [];
		const {suspicionTimeoutMs} = this;
		for (const server of this.table.suspects) {
			const entry = this.table.findEntry(server);
			if (entry?.member.dataCentre !== this.dataCentre) {
				continue;
			}

			if (nowMs - entry.sinceMs >= suspicionTimeoutMs) {
				expired.push({...entry.member, state: 'dead'});
			}
		}

		return expired;
	}
}
