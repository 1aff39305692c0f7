/**
 * Stores the record of this daemon in batches.
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

/** Owns the record and its place in the object store. */
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
		this.#writer.addInForce(policy.version, policy.digest, startedAtMs);
	}

	/** Stores a batch each minute, at a moment of the minute that differs between daemons. */
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
			this.#writer.addInForce(version, digest, Date.now());
		}
	}

	/** Counts a call that a version judged. */
	countCall(version: number): void {
		this.#writer.countCall(version);
	}

	/** Stores what is left. */
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
			this.options.logger.warn({error: stored.error.message}, 'record batch not stored');
			return;
		}

		this.#writer.settleBatch();
	}
}
