/**
 * Runs once calls whose idempotency key the caller chose.
 *
 * A claim is a table row that is inserted before anything is sent. It has no lease: only its holder can
 * end it, so a holder that was paused and resumes can't cause a second run. For the reasons see
 * docs/decisions/once.md.
 */
import {Claimer, type ClaimerContext} from './claimer.ts';
import {formatNonce, parseNonceTime} from './nonce.ts';
import {type NonceRegistry} from './nonce-registry.ts';
import {type OnceDependencies} from './dependencies.ts';
import {ClaimSettler} from './claim-settler.ts';
import {
	type ClaimHolder,
	type KillVerdict,
	type OnceLimits,
	type OnceRequest,
	type OnceResult,
	type SendOutcome,
} from './types.ts';

const msPerSecond = 1000;
/** Fraction of `keepSeconds` after which a claim under which nothing was sent is abandoned. */
const maxUnusedShare = 0.5;

/** Sends a call under its nonce and returns the outcome. */
export type SendFunction = (nonce: string) => Promise<SendOutcome>;

/** Claims keys, sends calls under them and settles the claims. */
export class OnceCallExecutor {
	/**
	 * @param self - this daemon, recorded as the holder of its claims
	 * @example
	 * const executor = OnceCallExecutor.create(self, dependencies, policy.once, nonces);
	 */
	static create(
		self: ClaimHolder,
		dependencies: OnceDependencies,
		limits: OnceLimits,
		nonces: NonceRegistry,
	): OnceCallExecutor {
		return new OnceCallExecutor({self, dependencies, limits, nonces}, ClaimSettler.create());
	}

	private lastNonceMs = 0;

	private constructor(
		private context: ClaimerContext,
		private readonly settler: ClaimSettler,
	) {}

	/** Applies the limits of a new policy version. */
	applyLimits(limits: OnceLimits): void {
		this.context = {...this.context, limits};
	}

	/**
	 * Runs a once call: claims its key, sends it and starts to settle the claim in the background.
	 *
	 * @example
	 * const result = await executor.run(request, nonce => sendToGuard(nonce));
	 */
	async run(request: OnceRequest, send: SendFunction): Promise<OnceResult> {
		const {context} = this;
		const nonce = this.createNonce();
		const claim = await Claimer.create(context, request, nonce).claim();
		if (claim.kind !== 'claimed') {
			return claim;
		}

		if (this.isStale(nonce)) {
			context.nonces.kill(nonce);
			return {kind: 'unknown', reason: 'claim-stale'};
		}

		if (!context.nonces.startSend(nonce)) {
			// Another attempt killed this nonce and replaced the claim before the send.
			return {kind: 'inProgress'};
		}

		const outcome = await this.send(request, nonce, send);
		return outcome.kind === 'answered' ? {kind: 'ran', record: outcome.record} : outcome;
	}

	/** Kills a nonce for another daemon that found a claim of this one. */
	killNonce(nonce: string): Exclude<KillVerdict, 'unreachable'> {
		return this.context.nonces.kill(nonce);
	}

	/** Waits until all pending settlements have been written or abandoned. */
	async waitForSettlements(): Promise<void> {
		await this.settler.waitForPending();
	}

	/** Sends a claimed call and starts to settle its claim, even if sending throws. */
	private async send(
		request: OnceRequest,
		nonce: string,
		send: SendFunction,
	): Promise<SendOutcome> {
		let outcome: SendOutcome = {kind: 'unknown', reason: 'internal-error'};
		try {
			outcome = await send(nonce);
			return outcome;
		} finally {
			if (outcome.kind === 'notRun') {
				this.context.nonces.retractSend(nonce);
			}

			this.settler.startSettling(this.context, request, nonce, outcome);
		}
	}

	private createNonce(): string {
		const {readNowMs, readRandom} = this.context.dependencies;
		// The times of one daemon's nonces never decrease, even if the wall clock does.
		this.lastNonceMs = Math.max(this.lastNonceMs, readNowMs());
		return formatNonce(this.lastNonceMs, readRandom());
	}

	/** Returns whether claiming took so long that the row may expire before the call ends. */
	private isStale(nonce: string): boolean {
		const {limits, dependencies} = this.context;
		const createdMs = Number.parseInt(parseNonceTime(nonce) ?? '0', 36);
		return dependencies.readNowMs() - createdMs > limits.keepSeconds * msPerSecond * maxUnusedShare;
	}
}
