/**
 * Verification of the record: unbroken chains, stated gaps, and agreement with the policy's history.
 */
import {type PolicyVersion} from '../../policy/types.ts';
import {computeBatchHash, decodeBatch} from './batch-codec.ts';
import {type RecordEntry} from './types.ts';

/** One stored batch. */
export type StoredBatch = {readonly key: string; readonly body: Uint8Array};

/** Something that the record does not prove, or that speaks against it. */
export type RecordFinding = {
	readonly kind:
		'unreadable' | 'brokenChain' | 'missingBatch' | 'gap' | 'disagreement' | 'backwards';
	readonly key: string;
	readonly detail: string;
};

export type RecordVerdict = {
	readonly batches: number;
	readonly instances: number;
	/** Calls judged, by version. */
	readonly calls: ReadonlyMap<number, number>;
	readonly findings: readonly RecordFinding[];
};

type Chain = {sequence: number; hash: string; version: number};

/**
 * Verifies all batches against one another and against the history. Batches come in order of their
 * keys, as the object store lists them.
 *
 * @example
 * const {findings} = verifyRecord(batches, history);
 */
export function verifyRecord(
	batches: readonly StoredBatch[],
	history: readonly PolicyVersion[],
): RecordVerdict {
	const verifier = new RecordVerifier(history);
	for (const batch of batches) {
		verifier.addBatch(batch);
	}

	return verifier.readVerdict();
}

class RecordVerifier {
	readonly #digests = new Map<number, string>();
	readonly #chains = new Map<string, Chain>();
	readonly #calls = new Map<number, number>();
	readonly #findings: RecordFinding[] = [];
	#batches = 0;

	constructor(history: readonly PolicyVersion[]) {
		for (const {version, digest} of history) {
			this.#digests.set(version, digest);
		}
	}

	addBatch({key, body}: StoredBatch): void {
		this.#batches++;
		const batch = decodeBatch(body);
		if (!batch) {
			this.#findings.push({kind: 'unreadable', key, detail: 'batch can not be decoded'});
			return;
		}

		const {server, instanceId, sequence, previousHash} = batch.header;
		const name = `${server}/${instanceId}`;
		const chain = this.#chains.get(name) ?? {sequence: 0, hash: '', version: 0};
		if (sequence !== chain.sequence + 1) {
			const detail = `batch ${sequence} follows ${chain.sequence}`;
			this.#findings.push({kind: 'missingBatch', key, detail});
		} else if (previousHash !== chain.hash) {
			const detail = 'the hash of the batch before does not match';
			this.#findings.push({kind: 'brokenChain', key, detail});
		}

		chain.sequence = sequence;
		chain.hash = computeBatchHash(body);
		this.#chains.set(name, chain);
		for (const entry of batch.entries) {
			this.#addEntry(key, entry, chain);
		}
	}

	readVerdict(): RecordVerdict {
		return {
			batches: this.#batches,
			instances: this.#chains.size,
			calls: this.#calls,
			findings: this.#findings,
		};
	}

	#addEntry(key: string, entry: RecordEntry, chain: Chain): void {
		switch (entry.kind) {
			case 'inForce': {
				this.#checkInForce(key, entry, chain);
				break;
			}

			case 'judged': {
				this.#calls.set(entry.version, (this.#calls.get(entry.version) ?? 0) + entry.calls);
				this.#checkKnown(key, entry.version);
				break;
			}

			case 'gap': {
				const detail = `${entry.lostEntries} entries lost from ${entry.fromMs} to ${entry.toMs}`;
				this.#findings.push({kind: 'gap', key, detail});
				break;
			}
		}
	}

	#checkInForce(key: string, entry: Extract<RecordEntry, {kind: 'inForce'}>, chain: Chain): void {
		const {version, digest} = entry;
		if (version < chain.version) {
			const detail = `version ${version} came into force after ${chain.version}`;
			this.#findings.push({kind: 'backwards', key, detail});
		}

		chain.version = version;
		this.#checkKnown(key, version);
		const known = this.#digests.get(version);
		if (known !== undefined && known !== digest) {
			const detail = `version ${version} has another digest in the history`;
			this.#findings.push({kind: 'disagreement', key, detail});
		}
	}

	/** Version 0 is built in and stands in no history. */
	#checkKnown(key: string, version: number): void {
		if (version > 0 && !this.#digests.has(version)) {
			const detail = `version ${version} is not in the history`;
			this.#findings.push({kind: 'disagreement', key, detail});
		}
	}
}
