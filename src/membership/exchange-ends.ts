/**
 * What follows from the end of an exchange: its response, or the lack of one.
 */
import {type LocalView} from './local-view.ts';
import {type GossipResponse} from './messages.ts';
import {type Outbox} from './outbox.ts';
import {type Prober} from './prober.ts';
import {type Survey} from './survey.ts';
import {type TableRepair} from './table-repair.ts';
import {type Member} from './types.ts';

export type ExchangeParts = {
	readonly view: LocalView;
	readonly outbox: Outbox;
	readonly prober: Prober;
	readonly repair: TableRepair;
	readonly survey: Survey;
};

export class ExchangeEnds {
	/**
	 * @example
	 * const ends = ExchangeEnds.create(parts);
	 * ends.handleFailure(exchangeId, nowMs);
	 */
	static create(parts: ExchangeParts): ExchangeEnds {
		return new ExchangeEnds(parts);
	}

	private constructor(private readonly parts: ExchangeParts) {}

	handleResponse(exchangeId: number, response: GossipResponse, nowMs: number): void {
		const exchange = this.parts.outbox.settle(exchangeId);
		switch (exchange?.kind) {
			case 'ping': {
				this.parts.prober.settlePing(exchange.target, response.from, nowMs);
				break;
			}

			case 'relayedPing': {
				const {target, askedBy} = exchange;
				this.parts.prober.settlePing(target, response.from, nowMs);
				this.parts.prober.answerProbe(askedBy, response.from.instanceId === target.instanceId);
				break;
			}

			case 'probe': {
				this.parts.prober.settleProbe(exchange.round, response, nowMs);
				break;
			}

			case 'sync': {
				this.parts.repair.settle(response, exchange.roundsLeft, nowMs);
				break;
			}

			case 'rival': {
				this.#settleRival(exchange.rival, response.from, nowMs);
				break;
			}

			case 'survey': {
				this.parts.survey.settle();
				break;
			}

			case 'push':
			case undefined: {
				break;
			}
		}
	}

	handleFailure(exchangeId: number, nowMs: number): void {
		const exchange = this.parts.outbox.settle(exchangeId);
		switch (exchange?.kind) {
			case 'ping': {
				this.parts.prober.handleSilence(exchange.target, nowMs);
				break;
			}

			case 'relayedPing': {
				this.parts.prober.answerProbe(exchange.askedBy, false);
				break;
			}

			case 'probe': {
				this.parts.prober.settleProbe(exchange.round, undefined, nowMs);
				break;
			}

			case 'rival': {
				this.#settleRival(exchange.rival, undefined, nowMs);
				break;
			}

			case 'survey': {
				this.parts.survey.settle();
				break;
			}

			case 'push':
			case 'sync':
			case undefined: {
				break;
			}
		}
	}

	/** A rival that answers has replaced this instance; one that is gone is outranked. */
	#settleRival(rival: Member, from: Member | undefined, nowMs: number): void {
		if (from?.instanceId === rival.instanceId) {
			this.parts.outbox.add({kind: 'superseded', by: rival});
			return;
		}

		this.parts.view.self.raiseStart(rival);
		this.parts.view.merge(this.parts.view.self.member, nowMs);
	}
}
