/**
 * Pings every live member, so that a daemon that starts without access to the table learns which
 * policy is in force.
 */
import {type LocalView} from './local-view.ts';
import {type GossipRequest} from './messages.ts';
import {type Outbox} from './outbox.ts';
import {gossipLimits} from './settings.ts';

export class Survey {
	/**
	 * @example
	 * const survey = Survey.create(view, outbox);
	 */
	static create(view: LocalView, outbox: Outbox): Survey {
		return new Survey(view, outbox);
	}

	#isScheduled = false;
	#pendingCount = 0;

	private constructor(
		private readonly view: LocalView,
		private readonly outbox: Outbox,
	) {}

	/** Schedules a survey, which starts once the members are known. */
	schedule(): void {
		this.#isScheduled = true;
	}

	/** Starts a scheduled survey if `areMembersKnown` is true. */
	startIfScheduled(areMembersKnown: boolean): void {
		if (!this.#isScheduled || !areMembersKnown) {
			return;
		}

		this.#isScheduled = false;
		const {table, self} = this.view;
		for (const member of table.listLive()) {
			if (member.server === self.member.server) {
				continue;
			}

			this.#pendingCount++;
			const request: GossipRequest = {...this.view.createEnvelope(member), kind: 'ping'};
			this.outbox.send(member, request, {kind: 'survey'}, gossipLimits.pingTimeoutMs);
		}

		if (this.#pendingCount === 0) {
			this.outbox.addAction({kind: 'surveyed'});
		}
	}

	/** Records an answer or a failure; the last one ends the survey. */
	recordResult(): void {
		this.#pendingCount--;
		if (this.#pendingCount === 0) {
			this.outbox.addAction({kind: 'surveyed'});
		}
	}
}
