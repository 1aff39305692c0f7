/**
 * Handles the result of an exchange: its response, or its failure.
 */
import {type AntiEntropy} from './anti-entropy.ts';
import {type LocalView} from './local-view.ts';
import {type GossipResponse} from './messages.ts';
import {type Outbox} from './outbox.ts';
import {type Prober} from './prober.ts';
import {type Survey} from './survey.ts';
import {type Member} from './types.ts';

export type ExchangeDependencies = {
	readonly view: LocalView;
	readonly outbox: Outbox;
	readonly prober: Prober;
	readonly antiEntropy: AntiEntropy;
	readonly survey: Survey;
};

export class ExchangeResultHandler {
	/**
	 * @example
	 * const exchangeResults = ExchangeResultHandler.create(dependencies);
	 * exchangeResults.handleFailure(exchangeId, nowMs);
	 */
	static create(dependencies: ExchangeDependencies): ExchangeResultHandler {
		return new ExchangeResultHandler(dependencies);
	}

	private constructor(private readonly dependencies: ExchangeDependencies) {}

	handleResponse(exchangeId: number, response: GossipResponse, nowMs: number): void {
		const exchange = this.dependencies.outbox.completeExchange(exchangeId);
		switch (exchange?.kind) {
			case 'ping': {
				this.dependencies.prober.handlePingResponse(exchange.target, response.from, nowMs);
				break;
			}

			case 'relayedPing': {
				const {target, probeExchangeId} = exchange;
				this.dependencies.prober.handlePingResponse(target, response.from, nowMs);
				this.dependencies.prober.respondToProbe(
					probeExchangeId,
					response.from.instanceId === target.instanceId,
				);
				break;
			}

			case 'probe': {
				this.dependencies.prober.recordProbeResult(exchange.probe, response, nowMs);
				break;
			}

			case 'sync': {
				this.dependencies.antiEntropy.handleSyncResponse(response, exchange.roundsLeft, nowMs);
				break;
			}

			case 'nameConflict': {
				this.#resolveNameConflict(exchange.conflictingInstance, response.from, nowMs);
				break;
			}

			case 'survey': {
				this.dependencies.survey.recordResult();
				break;
			}

			case 'push':
			case undefined: {
				break;
			}
		}
	}

	handleFailure(exchangeId: number, nowMs: number): void {
		const exchange = this.dependencies.outbox.completeExchange(exchangeId);
		switch (exchange?.kind) {
			case 'ping': {
				this.dependencies.prober.handlePingFailure(exchange.target, nowMs);
				break;
			}

			case 'relayedPing': {
				this.dependencies.prober.respondToProbe(exchange.probeExchangeId, false);
				break;
			}

			case 'probe': {
				this.dependencies.prober.recordProbeResult(exchange.probe, undefined, nowMs);
				break;
			}

			case 'nameConflict': {
				this.#resolveNameConflict(exchange.conflictingInstance, undefined, nowMs);
				break;
			}

			case 'survey': {
				this.dependencies.survey.recordResult();
				break;
			}

			case 'push':
			case 'sync':
			case undefined: {
				break;
			}
		}
	}

	/**
	 * Handles the result of a ping to another instance that uses this server's name. If it answered,
	 * it has replaced this instance; otherwise this instance's record is made to take precedence.
	 */
	#resolveNameConflict(other: Member, from: Member | undefined, nowMs: number): void {
		if (from?.instanceId === other.instanceId) {
			this.dependencies.outbox.addAction({kind: 'superseded', by: other});
			return;
		}

		this.dependencies.view.self.raiseStartTime(other);
		this.dependencies.view.merge(this.dependencies.view.self.member, nowMs);
	}
}
