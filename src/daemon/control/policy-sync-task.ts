/**
 * Does the I/O of this daemon's policy sync: reads the table and fetches policy versions from peers.
 */
import {type Table} from '../../store/types.ts';
import {builtInVersion} from '../../policy/built-in.ts';
import {PolicyStore} from '../../policy/policy-store.ts';
import {
	PolicySync,
	type PolicySource,
	type PolicySyncAction,
	type PolicySyncEvent,
} from '../../policy/policy-sync.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {type Logger} from '../../reporting/logger.ts';
import {readMonotonicMs} from '../clock.ts';
import {type ControlClient} from './control-client.ts';
import {decodePackedPolicy, encodePackedPolicy, type PackedPolicy} from './packed-policy.ts';

/** Actions of the policy sync that the control task carries out. */
export type PolicySyncNotification = Extract<
	PolicySyncAction,
	{kind: 'adopt' | 'ready' | 'askPeers'}
>;

export type PolicySyncTaskOptions = {
	readonly table: Table;
	readonly client: ControlClient;
	readonly logger: Logger;
	readonly handleNotification: (notification: PolicySyncNotification) => void;
};

export class PolicySyncTask {
	/**
	 * @example
	 * const task = PolicySyncTask.create(options);
	 * task.handle({kind: 'tick', isPoller: true});
	 */
	static create(options: PolicySyncTaskOptions): PolicySyncTask {
		return new PolicySyncTask(options);
	}

	readonly #policySync = PolicySync.create(builtInVersion, readMonotonicMs());
	readonly #store: PolicyStore;
	#packed: {readonly version: number; readonly policy: PackedPolicy} | undefined;

	private constructor(private readonly options: PolicySyncTaskOptions) {
		this.#store = PolicyStore.create(options.table, {readTimeMs: () => Date.now()});
	}

	get inForce(): PolicyVersion {
		return this.#policySync.inForce;
	}

	handle(event: PolicySyncEvent): void {
		for (const action of this.#policySync.handle(event, readMonotonicMs())) {
			this.#run(action);
		}
	}

	/** Returns the version in force in packed form; each version is packed only once. */
	readPackedPolicy(): PackedPolicy {
		const {inForce} = this;
		if (this.#packed?.version !== inForce.version) {
			this.#packed = {version: inForce.version, policy: encodePackedPolicy(inForce)};
		}

		return this.#packed.policy;
	}

	#run(action: PolicySyncAction): void {
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
				this.options.handleNotification(action);
				break;
			}

			case 'disagreement': {
				const {version, source} = action;
				this.options.logger.error(
					{version, source: source.kind},
					'policy version rejected: it conflicts with another document or fails verification',
				);
				break;
			}
		}
	}

	async #readHead(): Promise<void> {
		const head = await this.#store.readHead();
		if (head.isErr()) {
			this.options.logger.warn(
				{error: head.error.message},
				'could not read the policy head from the table',
			);
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
			this.options.logger.warn({version, error: message}, 'could not fetch the policy version');
			this.handle({kind: 'fetchFailed', source});
			return;
		}

		this.handle({kind: 'fetched', version: fetched.value, source});
	}
}
