/**
 * Claims the idempotency key of a once call by a conditional insert, or returns why that failed.
 */
import {type PlatformErrorKind} from '../store/errors.ts';
import {type RowKey, type TableRow} from '../store/types.ts';
import {AnswerStore} from './answer-store.ts';
import {computeRowKey, decodeClaim, encodeClaim, type Claim} from './claim-row.ts';
import {type NonceRegistry} from './nonce-registry.ts';
import {computeExpirySeconds, type OnceDependencies} from './dependencies.ts';
import {
	type ClaimHolder,
	type KillVerdict,
	type OnceLimits,
	type OnceRequest,
	type OnceResult,
} from './types.ts';

/** Conditional writes per attempt, since other attempts may change the row between two of them. */
const maxClaimRounds = 4;

export type ClaimerContext = {
	/** The daemon recorded as the holder of the claims that it writes. */
	readonly self: ClaimHolder;
	readonly dependencies: OnceDependencies;
	readonly limits: OnceLimits;
	readonly nonces: NonceRegistry;
};

/** Result of an attempt to claim a key. */
export type ClaimResult = {readonly kind: 'claimed'} | Exclude<OnceResult, {kind: 'ran'}>;

/** What to do after a write or read of the claim's row. */
type ClaimStep =
	| {readonly kind: 'end'; readonly result: ClaimResult}
	/** There is no claim; insert one. */
	| {readonly kind: 'insert'}
	/**
	 * The nonce of the existing claim was killed before anything was sent; replace it if its revision
	 * is unchanged.
	 */
	| {readonly kind: 'replace'; readonly revision: string};

const claimUnavailableStep: ClaimStep = {
	kind: 'end',
	result: {kind: 'notRun', reason: 'claim-unavailable'},
};

const claimUnreadableStep: ClaimStep = {
	kind: 'end',
	result: {kind: 'unknown', reason: 'claim-unreadable'},
};

/** Claims the key of one request for one attempt. */
export class Claimer {
	/**
	 * @example
	 * const result = await Claimer.create({self, dependencies, limits, nonces}, request, nonce).claim();
	 */
	static create(context: ClaimerContext, request: OnceRequest, nonce: string): Claimer {
		return new Claimer(context, request, nonce, computeRowKey(request));
	}

	private constructor(
		private readonly context: ClaimerContext,
		private readonly request: OnceRequest,
		private readonly nonce: string,
		private readonly key: RowKey,
	) {}

	/**
	 * Claims the key.
	 *
	 * On failure the nonce is killed, since a write whose answer was lost may still take effect.
	 */
	async claim(): Promise<ClaimResult> {
		const result = await this.runClaimRounds();
		if (result.kind !== 'claimed') {
			this.context.nonces.kill(this.nonce);
		}

		return result;
	}

	private async runClaimRounds(): Promise<ClaimResult> {
		let replacedRevision: string | undefined;
		for (let round = 0; round < maxClaimRounds; round++) {
			const step = await this.runClaimRound(replacedRevision);
			switch (step.kind) {
				case 'end': {
					return step.result;
				}

				case 'insert': {
					replacedRevision = undefined;
					break;
				}

				case 'replace': {
					replacedRevision = step.revision;
					break;
				}
			}
		}

		return {kind: 'notRun', reason: 'claim-unavailable'};
	}

	private async runClaimRound(replacedRevision: string | undefined): Promise<ClaimStep> {
		const {limits, dependencies, self} = this.context;
		const claim: Claim = {
			nonce: this.nonce,
			fingerprint: this.request.fingerprint,
			state: {kind: 'claimed', holder: self},
		};
		const expiresAtSeconds = computeExpirySeconds(dependencies.readNowMs(), limits.keepSeconds);
		const written = await dependencies.table.write({
			kind: 'put',
			row: encodeClaim(this.key, claim, expiresAtSeconds),
			condition:
				replacedRevision === undefined
					? {kind: 'absent'}
					: {kind: 'revision', revision: replacedRevision},
		});
		return written.isOk()
			? {kind: 'end', result: {kind: 'claimed'}}
			: this.chooseStepAfterFailure(written.error.kind);
	}

	/** Chooses the next step after a write that failed or whose answer was lost. */
	private async chooseStepAfterFailure(failure: PlatformErrorKind): Promise<ClaimStep> {
		switch (failure) {
			case 'unreachable':
			case 'rejected': {
				return claimUnavailableStep;
			}

			case 'lostAnswer': {
				return this.chooseStepFromRow(claimUnavailableStep);
			}

			case 'conditionFailed': {
				// Another claim exists, so an earlier attempt may have run: if the row can't be read, the
				// result is `unknown` instead of `notRun`.
				return this.chooseStepFromRow(claimUnreadableStep);
			}
		}
	}

	/** Reads the row and chooses the next step; `unreadable` is the step if the read fails. */
	private async chooseStepFromRow(unreadable: ClaimStep): Promise<ClaimStep> {
		const read = await this.context.dependencies.table.get(this.key);
		if (read.isErr()) {
			return unreadable;
		}

		if (read.value === undefined) {
			return {kind: 'insert'};
		}

		const claim = decodeClaim(read.value);
		if (claim === undefined) {
			return claimUnreadableStep;
		}

		return claim.nonce === this.nonce
			? {kind: 'end', result: {kind: 'claimed'}}
			: this.chooseStepForOtherClaim(claim, read.value);
	}

	/** Chooses the next step when another attempt holds the claim. */
	private async chooseStepForOtherClaim(claim: Claim, row: TableRow): Promise<ClaimStep> {
		const verdict = await this.killOtherClaim(claim);
		if (verdict === 'neverSent') {
			return {kind: 'replace', revision: row.revision};
		}

		if (claim.fingerprint !== this.request.fingerprint) {
			return {kind: 'end', result: {kind: 'mismatch'}};
		}

		const latest = verdict === 'ended' ? await this.readLatestClaim(claim) : claim;
		return {kind: 'end', result: await this.createResult(latest, verdict)};
	}

	/** Kills the nonce of an open claim at its holder; a claim with a result has ended already. */
	private async killOtherClaim(claim: Claim): Promise<KillVerdict> {
		if (claim.state.kind !== 'claimed') {
			return 'ended';
		}

		const {nonces, dependencies, self} = this.context;
		const {holder} = claim.state;
		return holder.instanceId === self.instanceId
			? nonces.kill(claim.nonce)
			: dependencies.holderClient.killNonce(holder, claim.nonce);
	}

	/** Reads the claim again if it was open when read but its holder reports that the call has ended. */
	private async readLatestClaim(claim: Claim): Promise<Claim> {
		if (claim.state.kind !== 'claimed') {
			return claim;
		}

		const read = await this.context.dependencies.table.get(this.key);
		const row = read.isOk() ? read.value : undefined;
		const latest = row === undefined ? undefined : decodeClaim(row);
		return latest?.nonce === claim.nonce ? latest : claim;
	}

	/** Creates the result of this attempt from the claim of another one. */
	private async createResult(claim: Claim, verdict: KillVerdict): Promise<ClaimResult> {
		switch (claim.state.kind) {
			case 'claimed': {
				return verdict === 'inFlight'
					? {kind: 'inProgress'}
					: {kind: 'unknown', reason: `holder-${verdict}`};
			}

			case 'done': {
				const {limits, dependencies} = this.context;
				return AnswerStore.create(dependencies.objects, limits).read(claim.state.place);
			}

			case 'unknown': {
				return {kind: 'unknown', reason: claim.state.reason};
			}
		}
	}
}
