/**
 * Settles the claim of a call after the send: deletes it if nothing was sent, else writes the result.
 */
import {computeBackoffMs, type BackoffOptions} from '../store/backoff.ts';
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
import {computeExpirySeconds} from './dependencies.ts';
import {type OnceRequest, type SendOutcome} from './types.ts';

/** Retries of the write that settles a claim; together they outlast an outage of several minutes. */
const settleWriteBackoff: BackoffOptions = {maxAttempts: 20, baseMs: 250, capMs: 30_000};
/** Above this number of pending settlements, one whose write fails is abandoned instead of retried. */
const maxPendingSettlements = 200;
/** Total bytes of answers that pending settlements may hold; answers beyond it are dropped. */
const maxPendingAnswerBytes = 4_194_304;

/** Returns the size of the answer that an outcome carries, 0 without one. */
function countAnswerBytes(outcome: SendOutcome): number {
	return outcome.kind === 'answered' && outcome.record.kind === 'kept'
		? outcome.record.answer.body.byteLength
		: 0;
}

/** Replaces the answer of an outcome by its status. */
function dropAnswer(outcome: SendOutcome): SendOutcome {
	if (outcome.kind !== 'answered' || outcome.record.kind !== 'kept') {
		return outcome;
	}

	return {kind: 'answered', record: {kind: 'dropped', status: outcome.record.answer.status}};
}

/** Settles claims in the background with bounded memory. */
export class ClaimSettler {
	/**
	 * @example
	 * const settler = ClaimSettler.create();
	 */
	static create(): ClaimSettler {
		return new ClaimSettler(new Set());
	}

	private answerBytes = 0;

	private constructor(private readonly pending: Set<Promise<void>>) {}

	/** Starts to settle one claim. Until it is settled, repeated requests ask the claim's holder. */
	startSettling(
		context: ClaimerContext,
		request: OnceRequest,
		nonce: string,
		outcome: SendOutcome,
	): void {
		const exceedsLimit = this.answerBytes + countAnswerBytes(outcome) > maxPendingAnswerBytes;
		const keptOutcome = exceedsLimit ? dropAnswer(outcome) : outcome;
		const bytes = countAnswerBytes(keptOutcome);
		this.answerBytes += bytes;
		const settlement = this.settle(context, request, nonce, keptOutcome);
		this.pending.add(settlement);
		void settlement.finally(() => {
			this.answerBytes -= bytes;
			this.pending.delete(settlement);
		});
	}

	/** Waits until all pending settlements have been written or abandoned. */
	async waitForPending(): Promise<void> {
		await Promise.all(this.pending);
	}

	private async settle(
		context: ClaimerContext,
		request: OnceRequest,
		nonce: string,
		outcome: SendOutcome,
	): Promise<void> {
		switch (outcome.kind) {
			case 'notRun': {
				await this.deleteClaim(context, request, nonce);
				return;
			}

			case 'unknown': {
				await this.writeOutcome(context, request, nonce, outcome);
				return;
			}

			case 'answered': {
				const answers = AnswerStore.create(context.dependencies.objects, context.limits);
				const location = await answers.write(nonce, outcome.record);
				await this.writeOutcome(context, request, nonce, {kind: 'done', place: location});
			}
		}
	}

	/**
	 * Deletes the claim of a call that did not run; if that fails, the next repeated request replaces
	 * it.
	 */
	private async deleteClaim(
		context: ClaimerContext,
		request: OnceRequest,
		nonce: string,
	): Promise<void> {
		const revision = computeRevision(nonce, 'claimed');
		await context.dependencies.table.write({
			kind: 'delete',
			key: computeRowKey(request),
			condition: {kind: 'revision', revision},
		});
	}

	/** Writes the result of a call; until then repeated requests get `inProgress` or `unknown`. */
	private async writeOutcome(
		context: ClaimerContext,
		request: OnceRequest,
		nonce: string,
		state: ClaimState,
	): Promise<void> {
		const {limits, nonces, dependencies} = context;
		const key = computeRowKey(request);
		const claim: Claim = {nonce, fingerprint: request.fingerprint, state};
		const expiresAtSeconds = computeExpirySeconds(dependencies.readNowMs(), limits.keepSeconds);
		const write: TableWrite = {
			kind: 'put',
			row: encodeClaim(key, claim, expiresAtSeconds),
			condition: {kind: 'revision', revision: computeRevision(nonce, 'claimed')},
		};
		for (let attempt = 1; attempt <= settleWriteBackoff.maxAttempts; attempt++) {
			const written = await dependencies.table.write(write);
			nonces.finishSend(nonce);
			if (written.isOk()) {
				return;
			}

			if (written.error.kind === 'conditionFailed') {
				await this.assertOwnClaim(context, key, nonce);
				return;
			}

			if (this.pending.size > maxPendingSettlements) {
				return;
			}

			await dependencies.wait(computeBackoffMs(settleWriteBackoff, attempt, 1));
		}
	}

	/** Throws if another claim replaced the one under which the request was sent. */
	private async assertOwnClaim(context: ClaimerContext, key: RowKey, nonce: string): Promise<void> {
		const read = await context.dependencies.table.get(key);
		const row = read.isOk() ? read.value : undefined;
		const claim = row === undefined ? undefined : decodeClaim(row);
		if (claim !== undefined && claim.nonce !== nonce) {
			throw OnceInvariantError.create(
				key.partition,
				'claim was replaced after the request was sent',
			);
		}
	}
}
