/**
 * Codec of record batches: JSON lines, of which the first is the header.
 */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type BatchHeader, type RecordBatch, type RecordEntry} from './types.ts';

/** Prefix of the object keys of all batches. */
export const recordPrefix = 'record/';

const sequenceDigits = 10;

/**
 * Formats the object key of a batch.
 *
 * @example
 * formatBatchKey({server: 'cat-1', instanceId: 'i1', sequence: 1, previousHash: ''});
 */
export function formatBatchKey(header: BatchHeader): string {
	const sequence = String(header.sequence).padStart(sequenceDigits, '0');
	return `${recordPrefix}${header.server}/${header.instanceId}/${sequence}`;
}

/**
 * Encodes a batch as JSON lines.
 *
 * @example
 * const body = encodeBatch({header, entries});
 */
export function encodeBatch(batch: RecordBatch): Uint8Array {
	const lines = [JSON.stringify(batch.header)];
	for (const entry of batch.entries) {
		lines.push(JSON.stringify(entry));
	}

	return Buffer.from(`${lines.join('\n')}\n`);
}

/**
 * Decodes a batch.
 *
 * @returns the batch, or undefined if a line is not valid JSON
 *
 * @example
 * const batch = decodeBatch(body);
 */
export function decodeBatch(body: Uint8Array): RecordBatch | undefined {
	try {
		const lines = Buffer.from(body).toString('utf8').trimEnd().split('\n');
		const [header, ...entries] = lines.map(line => JSON.parse(line) as unknown);
		return {header: header as BatchHeader, entries: entries as RecordEntry[]};
	} catch {
		return undefined;
	}
}

/**
 * Computes the hash that the header of the next batch contains as `previousHash`.
 *
 * @example
 * const previousHash = computeBatchHash(body);
 */
export function computeBatchHash(body: Uint8Array): string {
	return createHash('sha256').update(body).digest('hex');
}
