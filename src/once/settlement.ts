/**
 * Settles the claim of a call after it was sent: releases it, or writes how the call ended.
 */
import {computeBackoffMs, type Backoff} from '../store/backoff.ts';
import {type RowKey, type TableWrite} from '../store/types.ts';
import {AnswerStore} from './answer-store.ts';
import {
	computeRevision,
	computeRowKey,
	decodeClaim,
	encodeClaim,
	type Claim,
	type ClaimState,
} from './claim-row.ts';
import {type ClaimerContext} from './claimer.ts';
import {OnceInvariantError} from './errors.ts';
import {computeExpirySeconds} from './ports.ts';
import {type OnceRequest, type SendEnd} from './types.ts';

/** Together the retries outlast an outage of some minutes. */
const settleBackoff: Backoff = {attempts: 20, baseMs: 250, capMs: 30_000};
/** Settlements that may wait for the platform at once; more are given up. */
const maxWaiting = 200;
/** Bytes of answers that settlements hold at once; further answers are dropped. */
const maxAnswerBytes = 4_194_304;

/** Counts the bytes of the answer that an end carries. */
function countAnswerBytes(end: SendEnd): number {
	return end.kind === 'answered' && end.record.kind === 'kept'
		? end.record.answer.body.byteLength
		: 0;
}

/** Drops the answer of an end; only its status remains. */
function removeAnswer(end: SendEnd): SendEnd {
	if (end.kind !== 'answered' || end.record.kind !== 'kept') {
		return end;
	}

	return {kind: 'answered', record: {kind: 'dropped', status: end.record.answer.status}};
}

/** Settles claims in the background, in bounded number. */
export class Settlements {
	/**
	 * @example
	 * const settlements = Settlements.create();
	 */
	static create(): Settlements {
		return new Settlements(new Set());
	}

	private answerBytes = 0;

	private constructor(private readonly pending: Set<Promise<void>>) {}

	/** Starts to settle one claim. A repeat that comes earlier asks the holder instead. */
	start(context: ClaimerContext, request: OnceRequest, nonce: string, end: SendEnd): void {
		const isTooMuch = this.answerBytes + countAnswerBytes(end) > maxAnswerBytes;
		const settled = isTooMuch ? removeAnswer(end) : end;
		const bytes = countAnswerBytes(settled);
		this.answerBytes += bytes;
		const settlement = this.settle(context, request, nonce, settled);
		this.pending.add(settlement);
		void settlement.finally(() => {
			this.answerBytes -= bytes;
			this.pending.delete(settlement);
		});
	}

	/** Waits until all settlements under way are written or given up. */
	async wait(): Promise<void> {
		await Promise.all(this.pending);
	}

	private async settle(
		context: ClaimerContext,
		request: OnceRequest,
		nonce: string,
		end: SendEnd,
	): Promise<void> {
		switch (end.kind) {
			case 'notRun': {
				await this.release(context, request, nonce);
				return;
			}

			case 'unknown': {
				await this.writeEnd(context, request, nonce, end);
				return;
			}

			case 'answered': {
				const answers = AnswerStore.create(context.ports.objects, context.limits);
				const place = await answers.write(nonce, end.record);
				await this.writeEnd(context, request, nonce, {kind: 'done', place});
			}
		}
	}

	/** Removes the claim of a call that was not run; if that fails, the next repeat takes it over. */
	private async release(
		context: ClaimerContext,
		request: OnceRequest,
		nonce: string,
	): Promise<void> {
		const revision = computeRevision(nonce, 'claimed');
		await context.ports.table.write({
			kind: 'delete',
			key: computeRowKey(request),
			condition: {kind: 'revision', revision},
		});
	}

	/** Writes how a call ended; until then repeats are told that it is in progress or unknown. */
	private async writeEnd(
		context: ClaimerContext,
		request: OnceRequest,
		nonce: string,
		state: ClaimState,
	): Promise<void> {
		const {limits, nonces, ports} = context;
		const key = computeRowKey(request);
		const claim: Claim = {nonce, fingerprint: request.fingerprint, state};
		const expiresAtSeconds = computeExpirySeconds(ports.readNowMs(), limits.keepSeconds);
		const write: TableWrite = {
			kind: 'put',
			row: encodeClaim(key, claim, expiresAtSeconds),
			condition: {kind: 'revision', revision: computeRevision(nonce, 'claimed')},
		};
		for (let attempt = 1; attempt <= settleBackoff.attempts; attempt++) {
			const written = await ports.table.write(write);
			nonces.finishSend(nonce);
			if (written.isOk()) {
				return;
			}

			if (written.error.kind === 'conditionFailed') {
				await this.assertOwnClaim(context, key, nonce);
				return;
			}

			if (this.pending.size > maxWaiting) {
				return;
			}

			await ports.wait(computeBackoffMs(settleBackoff, attempt, 1));
		}
	}

	/** Throws when a claim that was sent has been replaced by another. */
	private async assertOwnClaim(context: ClaimerContext, key: RowKey, nonce: string): Promise<void> {
		const read = await context.ports.table.get(key);
		const row = read.isOk() ? read.value : undefined;
		const claim = row === undefined ? undefined : decodeClaim(row);
		if (claim !== undefined && claim.nonce !== nonce) {
			throw OnceInvariantError.create(key.partition, 'its claim was replaced after it was sent');
		}
	}
}
