/**
 * Ledger of once calls with a key that the caller chose.
 *
 * A claim is a row that is inserted before anything is sent. It has no lease: it ends by the word of
 * its holder alone, so a paused holder can do no harm. docs/decisions/once.md says why.
 */
import {Claimer, type ClaimerContext} from './claimer.ts';
import {formatNonce, parseNonceTime} from './nonce.ts';
import {type NonceRegistry} from './nonce-registry.ts';
import {type OncePorts} from './ports.ts';
import {Settlements} from './settlement.ts';
import {
	type Holder,
	type KillVerdict,
	type OnceLimits,
	type OnceRequest,
	type OnceResult,
	type SendEnd,
} from './types.ts';

const msPerSecond = 1000;
/** Share of the keeping time after which a claim that was not used is given up. */
const maxUnusedShare = 0.5;

/** Sends the call under its nonce and tells how that ended. */
export type SendCall = (nonce: string) => Promise<SendEnd>;

/** Claims keys, runs calls under them and settles what became of them. */
export class OnceLedger {
	/**
	 * @param self - the holder that this daemon's claims name
	 * @example
	 * const ledger = OnceLedger.create(self, ports, policy.once, NonceRegistry.create(defaultMaxNonces));
	 */
	static create(
		self: Holder,
		ports: OncePorts,
		limits: OnceLimits,
		nonces: NonceRegistry,
	): OnceLedger {
		return new OnceLedger({self, ports, limits, nonces}, Settlements.create());
	}

	private lastNonceMs = 0;

	private constructor(
		private context: ClaimerContext,
		private readonly settlements: Settlements,
	) {}

	/** Puts new limits in force. */
	applyLimits(limits: OnceLimits): void {
		this.context = {...this.context, limits};
	}

	/**
	 * Runs a once call: claims its key, sends it and starts to settle the claim.
	 *
	 * @example
	 * const result = await ledger.run(request, nonce => sendToGuard(nonce));
	 */
	async run(request: OnceRequest, send: SendCall): Promise<OnceResult> {
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
			// A repeat took the claim over while this attempt waited.
			return {kind: 'inProgress'};
		}

		const end = await this.send(request, nonce, send);
		return end.kind === 'answered' ? {kind: 'ran', record: end.record} : end;
	}

	/** Answers another daemon that met a claim of this one. */
	killNonce(nonce: string): Exclude<KillVerdict, 'unreachable'> {
		return this.context.nonces.kill(nonce);
	}

	/** Waits until all settlements under way are written or given up. */
	async waitForSettlements(): Promise<void> {
		await this.settlements.wait();
	}

	/** Sends a claimed call and starts its settlement, also when sending throws. */
	private async send(request: OnceRequest, nonce: string, send: SendCall): Promise<SendEnd> {
		let end: SendEnd = {kind: 'unknown', reason: 'internal-error'};
		try {
			end = await send(nonce);
			return end;
		} finally {
			if (end.kind === 'notRun') {
				this.context.nonces.retractSend(nonce);
			}

			this.settlements.start(this.context, request, nonce, end);
		}
	}

	private createNonce(): string {
		const {readNowMs, readRandom} = this.context.ports;
		// Nonces of one daemon never go back in time, even when the wall clock does.
		this.lastNonceMs = Math.max(this.lastNonceMs, readNowMs());
		return formatNonce(this.lastNonceMs, readRandom());
	}

	/** Tells whether a claim waited so long that its row may age out before the call ends. */
	private isStale(nonce: string): boolean {
		const {limits, ports} = this.context;
		const madeAtMs = Number.parseInt(parseNonceTime(nonce) ?? '0', 36);
		return ports.readNowMs() - madeAtMs > limits.keepSeconds * msPerSecond * maxUnusedShare;
	}
}
