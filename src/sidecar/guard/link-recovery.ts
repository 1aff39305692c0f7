/** Reports the outcomes of requests whose link was lost, or proves that they were not run. */
import {endedExchange, type Exchange, type ExchangeListener} from '../link/exchange.ts';
import {type CallRegistry} from './call-registry.ts';
import {type GuardedCall} from './guarded-call.ts';

export type LinkRecoveryOptions = {
	readonly calls: CallRegistry;
	/** Identifies the start of this guard. */
	readonly incarnation: string;
	/** Removes a call from the requests that wait for a slot. */
	removeWaiting(call: GuardedCall): void;
};

export class LinkRecovery {
	/**
	 * @example
	 * const recovery = LinkRecovery.create({calls, incarnation, removeWaiting});
	 * recovery.handleLinkLost(nonce, listener);
	 */
	static create(options: LinkRecoveryOptions): LinkRecovery {
		return new LinkRecovery(options);
	}

	private constructor(private readonly options: LinkRecoveryOptions) {}

	/**
	 * Reports the outcome of an earlier request to a listener on a new link. A nonce that has not arrived
	 * is revoked, so that the refusal stays true.
	 *
	 * @param incarnation - identifies the start of the guard to which the request was sent
	 */
	resume(nonce: string, incarnation: string, listener: ExchangeListener): Exchange {
		const call = this.options.calls.findCall(nonce);
		if (call !== undefined) {
			this.options.calls.removeOrphan(call);
			return this.#resumeCall(call, listener);
		}

		if (incarnation !== this.options.incarnation) {
			listener.handleFailure({reason: 'the guard has restarted'});
		} else if (this.options.calls.revoke(nonce) === 'neverSent') {
			listener.handleRefusal({reason: 'forgotten', member: undefined});
		} else {
			listener.handleFailure({reason: 'the end of the request is not kept any more'});
		}

		return endedExchange;
	}

	/**
	 * Handles a lost link: cancels its request if it waits or the rest of its body can't come any more. A running one may
	 * be resumed for some time.
	 */
	handleLinkLost(nonce: string, listener: ExchangeListener): void {
		const call = this.options.calls.findCall(nonce);
		if (call?.listener !== listener) {
			return;
		}

		switch (call.phase) {
			case 'waiting': {
				this.options.removeWaiting(call);
				call.cancel();
				break;
			}

			case 'running': {
				if (call.isBodyWhole) {
					this.options.calls.addOrphan(call, performance.now());
				} else {
					call.cancel();
				}

				break;
			}

			case 'ended': {
				break;
			}
		}
	}

	#resumeCall(call: GuardedCall, listener: ExchangeListener): Exchange {
		if (call.isStreaming) {
			call.cancel();
			listener.handleFailure({reason: 'the answer was partly sent'});
			return endedExchange;
		}

		// The rest of the body was on the former link.
		if (!call.isBodyWhole) {
			call.cancel();
		}

		call.attach(listener);
		return call;
	}
}
