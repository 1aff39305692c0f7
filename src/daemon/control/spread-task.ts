/**
 * Runs the spread of the policy for this daemon: reads the table, fetches from peers and puts versions
 * in force.
 */
import {type Table} from '../../store/types.ts';
import {builtInVersion} from '../../policy/built-in.ts';
import {PolicyStore} from '../../policy/policy-store.ts';
import {
	PolicySpread,
	type PolicySource,
	type SpreadAction,
	type SpreadEvent,
} from '../../policy/spread.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {type Logger} from '../../reporting/logger.ts';
import {readMonotonicMs} from '../clock.ts';
import {type ControlClient} from './control-client.ts';
import {decodePackedPolicy, encodePackedPolicy, type PackedPolicy} from './packed-policy.ts';

/** What the spread tells the control task. */
export type SpreadNews = Extract<SpreadAction, {kind: 'adopt' | 'ready' | 'askPeers'}>;

export type SpreadTaskOptions = {
	readonly table: Table;
	readonly client: ControlClient;
	readonly logger: Logger;
	readonly receiveNews: (news: SpreadNews) => void;
};

export class SpreadTask {
	/**
	 * @example
	 * const task = SpreadTask.create(options);
	 * task.handle({kind: 'tick', isPoller: true});
	 */
	static create(options: SpreadTaskOptions): SpreadTask {
		return new SpreadTask(options);
	}

	readonly #spread = PolicySpread.create(builtInVersion, readMonotonicMs());
	readonly #store: PolicyStore;
	#packed: {readonly version: number; readonly policy: PackedPolicy} | undefined;

	private constructor(private readonly options: SpreadTaskOptions) {
		this.#store = PolicyStore.create(options.table, {readTimeMs: () => Date.now()});
	}

	get inForce(): PolicyVersion {
		return this.#spread.inForce;
	}

	handle(event: SpreadEvent): void {
		for (const action of this.#spread.handle(event, readMonotonicMs())) {
			this.#run(action);
		}
	}

	/** Reads the version in force for a peer; it is packed once. */
	readPacked(): PackedPolicy {
		const {inForce} = this;
		if (this.#packed?.version !== inForce.version) {
			this.#packed = {version: inForce.version, policy: encodePackedPolicy(inForce)};
		}

		return this.#packed.policy;
	}

	#run(action: SpreadAction): void {
		switch (action.kind) {
			case 'readHead': {
				void this.#readHead();
				break;
			}

			case 'fetch': {
				void this.#fetch(action.version, action.source);
				break;
			}

			case 'adopt':
			case 'ready':
			case 'askPeers': {
				this.options.receiveNews(action);
				break;
			}

			case 'disagreement': {
				const {version, source} = action;
				this.options.logger.error({version, source: source.kind}, 'policy versions disagree');
				break;
			}
		}
	}

	async #readHead(): Promise<void> {
		const head = await this.#store.readHead();
		if (head.isErr()) {
			this.options.logger.warn({error: head.error.message}, 'policy head not read');
			this.handle({kind: 'headFailed'});
			return;
		}

		this.handle({kind: 'headRead', head: head.value});
	}

	async #fetch(version: number, source: PolicySource): Promise<void> {
		const fetched =
			source.kind === 'table'
				? await this.#store.readVersion(version)
				: await this.options.client
						.readPolicy(source)
						.andThen(packed => decodePackedPolicy(packed));
		if (fetched.isErr()) {
			const {message} = fetched.error;
			this.options.logger.warn({version, error: message}, 'policy version not fetched');
			this.handle({kind: 'fetchFailed', source});
			return;
		}

		this.handle({kind: 'fetched', version: fetched.value, source});
	}
}
