/**
 * Stores this daemon's record of policy versions and call counts in the object store, in batches.
 */
import {type ObjectStore} from '../store/types.ts';
import {type PolicyVersion} from '../policy/types.ts';
import {type Logger} from '../reporting/logger.ts';
import {RecordWriter} from '../reporting/record/record-writer.ts';
import {type Identity} from './identity.ts';
import {type Task, type TaskMessage} from './messages.ts';

export type RecordOptions = {
	readonly identity: Identity;
	readonly objects: ObjectStore;
	readonly logger: Logger;
};

const batchIntervalMs = 60_000;
const maxEntries = 1000;

export class RecordTask implements Task {
	/**
	 * @example
	 * const record = RecordTask.create(options, builtInVersion);
	 */
	static create(options: RecordOptions, policy: PolicyVersion): RecordTask {
		return new RecordTask(options, policy);
	}

	readonly #writer: RecordWriter;
	#timer: NodeJS.Timeout | undefined;
	#isStoring = false;

	private constructor(
		private readonly options: RecordOptions,
		policy: PolicyVersion,
	) {
		const {server, instanceId, startedAtMs} = options.identity;
		this.#writer = RecordWriter.create({server, instanceId, startedAtMs, maxEntries});
		this.#writer.recordPolicyInForce(policy.version, policy.digest, startedAtMs);
	}

	/** Stores a batch each minute, after a random first delay that spreads the writes of all daemons. */
	start(): void {
		this.#timer = setTimeout(() => {
			void this.#storeBatch();
			this.#timer = setInterval(() => {
				void this.#storeBatch();
			}, batchIntervalMs);
			this.#timer.unref();
		}, Math.random() * batchIntervalMs);
		this.#timer.unref();
	}

	receive(message: TaskMessage): void {
		if (message.kind === 'policy') {
			const {version, digest} = message.policy;
			this.#writer.recordPolicyInForce(version, digest, Date.now());
		}
	}

	/** Counts a call under the policy version that classified it. */
	countCall(version: number): void {
		this.#writer.countCallForPolicyVersion(version);
	}

	/** Stores the remaining entries: first a batch whose write failed before, if any, then the rest. */
	async stop(): Promise<void> {
		clearTimeout(this.#timer);
		await this.#storeBatch();
		await this.#storeBatch();
	}

	async #storeBatch(): Promise<void> {
		const batch = this.#isStoring ? undefined : this.#writer.prepareBatch(Date.now());
		if (!batch) {
			return;
		}

		this.#isStoring = true;
		const stored = await this.options.objects.put(batch.key, batch.body, 'application/x-ndjson');
		this.#isStoring = false;
		if (stored.isErr()) {
			this.options.logger.warn({error: stored.error.message}, 'could not store the record batch');
			return;
		}

		this.#writer.markBatchStored();
	}
}
