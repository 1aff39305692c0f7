/**
 * Pings to every member, for a daemon that starts without the table and needs the policy in force.
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

	#isWanted = false;
	#waiting = 0;

	private constructor(
		private readonly view: LocalView,
		private readonly outbox: Outbox,
	) {}

	/** Asks for a survey; it starts once the members are known. */
	schedule(): void {
		this.#isWanted = true;
	}

	/** Starts a wanted survey when `canStart` says that the members are known. */
	runWhenDue(canStart: boolean): void {
		if (!this.#isWanted || !canStart) {
			return;
		}

		this.#isWanted = false;
		const {table, self} = this.view;
		for (const member of table.listLive()) {
			if (member.server === self.member.server) {
				continue;
			}

			this.#waiting++;
			const request: GossipRequest = {...this.view.createEnvelope(member), kind: 'ping'};
			this.outbox.send(member, request, {kind: 'survey'}, gossipLimits.pingTimeoutMs);
		}

		if (this.#waiting === 0) {
			this.outbox.add({kind: 'surveyed'});
		}
	}

	/** Counts an answer or a failure; the last one ends the survey. */
	settle(): void {
		this.#waiting--;
		if (this.#waiting === 0) {
			this.outbox.add({kind: 'surveyed'});
		}
	}
}
