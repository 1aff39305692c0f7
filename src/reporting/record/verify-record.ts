/**
 * Verifies the audit record: the hash chains of its batches are unbroken, no entries were lost, and its
 * policy versions match the policy history.
 */
import {type PolicyVersion} from '../../policy/types.ts';
import {computeBatchHash, decodeBatch} from './batch-codec.ts';
import {type RecordEntry} from './types.ts';

/** A batch as read from the object store. */
export type StoredBatch = {readonly key: string; readonly body: Uint8Array};

/** A gap or an inconsistency in the audit record. */
export type RecordFinding = {
	readonly kind:
		'unreadable' | 'brokenChain' | 'missingBatch' | 'gap' | 'disagreement' | 'backwards';
	readonly key: string;
	readonly detail: string;
};

export type RecordVerification = {
	readonly batches: number;
	readonly instances: number;
	/** Number of calls that each policy version was applied to. */
	readonly calls: ReadonlyMap<number, number>;
	readonly findings: readonly RecordFinding[];
};

/** State of the hash chain of one instance after its latest batch. */
type ChainState = {sequence: number; lastBatchHash: string; version: number};

/**
 * Verifies all batches against each other and against the policy history.
 *
 * @param batches - in the order of their keys, as the object store lists them
 *
 * @example
 * const {findings} = verifyRecord(batches, history);
 */
export function verifyRecord(
	batches: readonly StoredBatch[],
	history: readonly PolicyVersion[],
): RecordVerification {
	const verifier = new RecordVerifier(history);
	for (const batch of batches) {
		verifier.addBatch(batch);
	}

	return verifier.createResult();
}

class RecordVerifier {
	readonly #digests = new Map<number, string>();
	readonly #chains = new Map<string, ChainState>();
	readonly #calls = new Map<number, number>();
	readonly #findings: RecordFinding[] = [];
	#batchCount = 0;

	constructor(history: readonly PolicyVersion[]) {
		for (const {version, digest} of history) {
			this.#digests.set(version, digest);
		}
	}

	addBatch({key, body}: StoredBatch): void {
		this.#batchCount++;
		const batch = decodeBatch(body);
		if (!batch) {
			this.#findings.push({kind: 'unreadable', key, detail: 'the batch cannot be decoded'});
			return;
		}

		const {server, instanceId, sequence, previousHash} = batch.header;
		const name = `${server}/${instanceId}`;
		const chain = this.#chains.get(name) ?? {sequence: 0, lastBatchHash: '', version: 0};
		if (sequence !== chain.sequence + 1) {
			const detail = `batch ${sequence} follows ${chain.sequence}`;
			this.#findings.push({kind: 'missingBatch', key, detail});
		} else if (previousHash !== chain.lastBatchHash) {
			const detail = 'the hash of the previous batch does not match';
			this.#findings.push({kind: 'brokenChain', key, detail});
		}

		chain.sequence = sequence;
		chain.lastBatchHash = computeBatchHash(body);
		this.#chains.set(name, chain);
		for (const entry of batch.entries) {
			this.#addEntry(key, entry, chain);
		}
	}

	createResult(): RecordVerification {
		return {
			batches: this.#batchCount,
			instances: this.#chains.size,
			calls: this.#calls,
			findings: this.#findings,
		};
	}

	#addEntry(key: string, entry: RecordEntry, chain: ChainState): void {
		switch (entry.kind) {
			case 'inForce': {
				this.#checkPolicyInForce(key, entry, chain);
				break;
			}

			case 'judged': {
				this.#calls.set(entry.version, (this.#calls.get(entry.version) ?? 0) + entry.calls);
				this.#checkVersionInHistory(key, entry.version);
				break;
			}

			case 'gap': {
				const detail = `${entry.lostEntries} entries lost from ${entry.fromMs} to ${entry.toMs}`;
				this.#findings.push({kind: 'gap', key, detail});
				break;
			}
		}
	}

	#checkPolicyInForce(
		key: string,
		entry: Extract<RecordEntry, {kind: 'inForce'}>,
		chain: ChainState,
	): void {
		const {version, digest} = entry;
		if (version < chain.version) {
			const detail = `version ${version} came into force after ${chain.version}`;
			this.#findings.push({kind: 'backwards', key, detail});
		}

		chain.version = version;
		this.#checkVersionInHistory(key, version);
		const historyDigest = this.#digests.get(version);
		if (historyDigest !== undefined && historyDigest !== digest) {
			const detail = `version ${version} has a different digest in the history`;
			this.#findings.push({kind: 'disagreement', key, detail});
		}
	}

	/** Adds a finding if a version is not in the history. Version 0 is built in and never listed there. */
	#checkVersionInHistory(key: string, version: number): void {
		if (version > 0 && !this.#digests.has(version)) {
			const detail = `version ${version} is not in the history`;
			this.#findings.push({kind: 'disagreement', key, detail});
		}
	}
}
