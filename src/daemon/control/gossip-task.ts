/**
 * Does the I/O of this daemon's gossip: sends its requests to peers and responds to theirs.
 */
import {Gossip} from '../../membership/gossip.ts';
import {
	type GossipAction,
	type GossipEvent,
	type GossipRequest,
	type GossipResponse,
} from '../../membership/messages.ts';
import {type Member} from '../../membership/types.ts';
import {type PolicyHead} from '../../policy/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {type ControlClient} from './control-client.ts';

/** Results of the gossip that the control task handles. */
export type GossipNotification = Exclude<GossipAction, {kind: 'send' | 'respond'}>;

export type GossipTaskOptions = {
	readonly self: Member;
	readonly policy: PolicyHead;
	readonly client: ControlClient;
	readonly handleNotification: (notification: GossipNotification) => void;
};

export class GossipTask {
	/**
	 * @example
	 * const task = GossipTask.create(options);
	 * task.handle({kind: 'tick'});
	 */
	static create(options: GossipTaskOptions): GossipTask {
		return new GossipTask(options);
	}

	readonly gossip: Gossip;
	readonly #pendingResponses = new Map<number, (response: GossipResponse) => void>();
	#nextExchangeId = 1;
	#isStopped = false;
	#inFlight = 0;

	private constructor(private readonly options: GossipTaskOptions) {
		const {self, policy} = options;
		this.gossip = Gossip.create({self, policy, random: Math.random});
	}

	/** Number of requests to peers that have no response yet. */
	get inFlight(): number {
		return this.#inFlight;
	}

	handle(event: GossipEvent): void {
		if (this.#isStopped) {
			return;
		}

		for (const action of this.gossip.handle(event, readMonotonicMs())) {
			this.#run(action);
		}
	}

	/**
	 * Handles a request from a peer and resolves with the response.
	 *
	 * @throws when the task has been stopped
	 */
	async handleRequest(request: GossipRequest): Promise<GossipResponse> {
		if (this.#isStopped) {
			throw new Error('daemon has stopped');
		}

		const exchangeId = this.#nextExchangeId++;
		return new Promise(resolve => {
			this.#pendingResponses.set(exchangeId, resolve);
			this.handle({kind: 'request', exchangeId, request});
		});
	}

	stop(): void {
		this.#isStopped = true;
	}

	#run(action: GossipAction): void {
		switch (action.kind) {
			case 'send': {
				void this.#send(action);
				break;
			}

			case 'respond': {
				const resolve = this.#pendingResponses.get(action.exchangeId);
				this.#pendingResponses.delete(action.exchangeId);
				resolve?.(action.response);
				break;
			}

			case 'membersChanged':
			case 'surveyed':
			case 'policyHeard':
			case 'superseded': {
				this.options.handleNotification(action);
				break;
			}
		}
	}

	async #send(action: Extract<GossipAction, {kind: 'send'}>): Promise<void> {
		const {exchangeId, to, request, timeoutMs} = action;
		this.#inFlight++;
		const response = await this.options.client.exchange(to, request, timeoutMs);
		this.#inFlight--;
		this.handle(
			response.isOk()
				? {kind: 'response', exchangeId, response: response.value}
				: {kind: 'failed', exchangeId},
		);
	}
}
