/**
 * Claims the key of a once call by a conditional insert, or tells what stands in the way.
 */
import {type PlatformErrorKind} from '../store/errors.ts';
import {type RowKey, type TableRow} from '../store/types.ts';
import {AnswerStore} from './answer-store.ts';
import {computeRowKey, decodeClaim, encodeClaim, type Claim} from './claim-row.ts';
import {type NonceRegistry} from './nonce-registry.ts';
import {computeExpirySeconds, type OncePorts} from './ports.ts';
import {
	type Holder,
	type KillVerdict,
	type OnceLimits,
	type OnceRequest,
	type OnceResult,
} from './types.ts';

const maxRounds = 4;

export type ClaimerContext = {
	/** The holder that the claim names. */
	readonly self: Holder;
	readonly ports: OncePorts;
	readonly limits: OnceLimits;
	readonly nonces: NonceRegistry;
};

/** What asking for a claim came to. */
export type ClaimResult = {readonly kind: 'claimed'} | Exclude<OnceResult, {kind: 'ran'}>;

/** What to do after one look at the table. */
type Step =
	| {readonly kind: 'end'; readonly result: ClaimResult}
	/** The row changed meanwhile; insert again. */
	| {readonly kind: 'insert'}
	/** The claim in the way is dead and may be replaced at its revision. */
	| {readonly kind: 'replace'; readonly revision: string};

const claimUnavailable: Step = {
	kind: 'end',
	result: {kind: 'notRun', reason: 'claim-unavailable'},
};

const claimUnreadable: Step = {
	kind: 'end',
	result: {kind: 'unknown', reason: 'claim-unreadable'},
};

/** One attempt to claim a key. */
export class Claimer {
	/**
	 * @example
	 * const result = await Claimer.create({self, ports, limits, nonces}, request, nonce).claim();
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

	/** Claims the key; unless that succeeds the nonce is dead, since its write may still come. */
	async claim(): Promise<ClaimResult> {
		const result = await this.runRounds();
		if (result.kind !== 'claimed') {
			this.context.nonces.kill(this.nonce);
		}

		return result;
	}

	private async runRounds(): Promise<ClaimResult> {
		let replaced: string | undefined;
		for (let round = 0; round < maxRounds; round++) {
			const step = await this.runRound(replaced);
			switch (step.kind) {
				case 'end': {
					return step.result;
				}

				case 'insert': {
					replaced = undefined;
					break;
				}

				case 'replace': {
					replaced = step.revision;
					break;
				}
			}
		}

		return {kind: 'notRun', reason: 'claim-unavailable'};
	}

	private async runRound(replaced: string | undefined): Promise<Step> {
		const {limits, ports, self} = this.context;
		const claim: Claim = {
			nonce: this.nonce,
			fingerprint: this.request.fingerprint,
			state: {kind: 'claimed', holder: self},
		};
		const expiresAtSeconds = computeExpirySeconds(ports.readNowMs(), limits.keepSeconds);
		const written = await ports.table.write({
			kind: 'put',
			row: encodeClaim(this.key, claim, expiresAtSeconds),
			condition: replaced === undefined ? {kind: 'absent'} : {kind: 'revision', revision: replaced},
		});
		return written.isOk()
			? {kind: 'end', result: {kind: 'claimed'}}
			: this.findStep(written.error.kind);
	}

	/** Decides what to do after a write that is not known to have taken effect. */
	private async findStep(failure: PlatformErrorKind): Promise<Step> {
		switch (failure) {
			case 'unreachable':
			case 'rejected': {
				return claimUnavailable;
			}

			case 'lostAnswer': {
				return this.readStep(claimUnavailable);
			}

			case 'conditionFailed': {
				// There is a claim, so an earlier attempt may have run.
				return this.readStep(claimUnreadable);
			}
		}
	}

	private async readStep(unreadable: Step): Promise<Step> {
		const read = await this.context.ports.table.get(this.key);
		if (read.isErr()) {
			return unreadable;
		}

		if (read.value === undefined) {
			return {kind: 'insert'};
		}

		const claim = decodeClaim(read.value);
		if (claim === undefined) {
			return claimUnreadable;
		}

		return claim.nonce === this.nonce
			? {kind: 'end', result: {kind: 'claimed'}}
			: this.chooseStep(claim, read.value);
	}

	/** Decides about the claim of another attempt. */
	private async chooseStep(claim: Claim, row: TableRow): Promise<Step> {
		const verdict = await this.probeHolder(claim);
		if (verdict === 'neverSent') {
			return {kind: 'replace', revision: row.revision};
		}

		if (claim.fingerprint !== this.request.fingerprint) {
			return {kind: 'end', result: {kind: 'mismatch'}};
		}

		const latest = verdict === 'ended' ? await this.readLatest(claim) : claim;
		return {kind: 'end', result: await this.readResult(latest, verdict)};
	}

	/** Asks the holder of a claim that is open; an ended one needs no question. */
	private async probeHolder(claim: Claim): Promise<KillVerdict> {
		if (claim.state.kind !== 'claimed') {
			return 'ended';
		}

		const {nonces, ports, self} = this.context;
		const {holder} = claim.state;
		return holder.instanceId === self.instanceId
			? nonces.kill(claim.nonce)
			: ports.holders.killNonce(holder, claim.nonce);
	}

	/** Reads an open claim again whose holder says that the call has ended. */
	private async readLatest(claim: Claim): Promise<Claim> {
		if (claim.state.kind !== 'claimed') {
			return claim;
		}

		const read = await this.context.ports.table.get(this.key);
		const row = read.isOk() ? read.value : undefined;
		const latest = row === undefined ? undefined : decodeClaim(row);
		return latest?.nonce === claim.nonce ? latest : claim;
	}

	private async readResult(claim: Claim, verdict: KillVerdict): Promise<ClaimResult> {
		switch (claim.state.kind) {
			case 'claimed': {
				return verdict === 'inFlight'
					? {kind: 'inProgress'}
					: {kind: 'unknown', reason: `holder-${verdict}`};
			}

			case 'done': {
				const {limits, ports} = this.context;
				return AnswerStore.create(ports.objects, limits).read(claim.state.place);
			}

			case 'unknown': {
				return {kind: 'unknown', reason: claim.state.reason};
			}
		}
	}
}
