/**
 * Runs the gossip of this daemon: sends its messages and answers those of peers.
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

/** What the gossip tells the control task. */
export type GossipNews = Exclude<GossipAction, {kind: 'send' | 'respond'}>;

export type GossipTaskOptions = {
	readonly self: Member;
	readonly policy: PolicyHead;
	readonly client: ControlClient;
	readonly receiveNews: (news: GossipNews) => void;
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
	readonly #waiting = new Map<number, (response: GossipResponse) => void>();
	#nextExchangeId = 1;
	#isStopped = false;
	#inFlight = 0;

	private constructor(private readonly options: GossipTaskOptions) {
		const {self, policy} = options;
		this.gossip = Gossip.create({self, policy, random: Math.random});
	}

	/** Messages to peers that have no answer yet. */
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

	/** Answers a request of a peer. */
	async answer(request: GossipRequest): Promise<GossipResponse> {
		if (this.#isStopped) {
			throw new Error('daemon has stopped');
		}

		const exchangeId = this.#nextExchangeId++;
		return new Promise(resolve => {
			this.#waiting.set(exchangeId, resolve);
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
				const resolve = this.#waiting.get(action.exchangeId);
				this.#waiting.delete(action.exchangeId);
				resolve?.(action.response);
				break;
			}

			case 'membersChanged':
			case 'surveyed':
			case 'policyHeard':
			case 'superseded': {
				this.options.receiveNews(action);
				break;
			}
		}
	}

	async #send(action: Extract<GossipAction, {kind: 'send'}>): Promise<void> {
		const {exchangeId, to, request, timeoutMs} = action;
		this.#inFlight++;
		const answer = await this.options.client.exchange(to, request, timeoutMs);
		this.#inFlight--;
		this.handle(
			answer.isOk()
				? {kind: 'response', exchangeId, response: answer.value}
				: {kind: 'failed', exchangeId},
		);
	}
}
