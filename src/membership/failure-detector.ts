/**
 * Suspicion of members that do not answer, and its end: a refutation or a declaration of death.
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

	/** Grows while nobody answers this daemon, which may then be the one at fault. */
	#doubt = 0;
	#graceUntilMs = 0;

	private constructor(
		private readonly table: MemberTable,
		private readonly dataCentre: string,
	) {}

	/** Time that a suspicion stands before the member is declared dead. */
	get suspicionMs(): number {
		const {size} = this.table.findServers(this.dataCentre);
		const {minSuspicionMs, suspicionPerDecadeMs} = gossipLimits;
		const ms = Math.max(minSuspicionMs, suspicionPerDecadeMs * Math.log10(size + 1));
		return ms * (1 + this.#doubt);
	}

	recordAnswer(): void {
		this.#doubt = Math.max(0, this.#doubt - 1);
	}

	/** Notes that neither a member nor any of its helpers answered. */
	recordSilence(): void {
		this.#doubt = Math.min(gossipLimits.maxDoubt, this.#doubt + 1);
	}

	/** Gives every suspect its whole time again after this process stood still. */
	resetSuspicions(nowMs: number): void {
		this.#graceUntilMs = nowMs + this.suspicionMs;
	}

	/**
	 * Computes the record of a member that neither it nor its helpers answered for; undefined when the
	 * member has changed since the ping.
	 *
	 * @example
	 * const suspected = detector.computeSuspicion(target);
	 */
	computeSuspicion(target: Member): Member | undefined {
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

	/** Lists the records of suspects whose time is over; only the own data centre's are judged. */
	listDeaths(nowMs: number): Member[] {
		if (nowMs < this.#graceUntilMs) {
			return [];
		}

		const deaths: Member[] = [];
		const {suspicionMs} = this;
		for (const server of this.table.suspects) {
			const entry = this.table.findEntry(server);
			if (entry?.member.dataCentre !== this.dataCentre) {
				continue;
			}

			if (nowMs - entry.sinceMs >= suspicionMs) {
				deaths.push({...entry.member, state: 'dead'});
			}
		}

		return deaths;
	}
}
