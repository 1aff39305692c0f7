/**
 * Once calls at the entry: runs them under claims and sends kill requests to other daemons.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {type Member} from '../../membership/types.ts';
import {signMintedKey} from '../../once/minted-key.ts';
import {formatNonce} from '../../once/nonce.ts';
import {defaultMaxNonces, NonceRegistry} from '../../once/nonce-registry.ts';
import {OnceCallExecutor} from '../../once/once-call-executor.ts';
import {type ClaimHolder, type KillVerdict, type OnceLimits} from '../../once/types.ts';
import {type ObjectStore, type Table} from '../../store/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {type PeerPools} from '../entry/peer-pools.ts';
import {AnswerCollector, CollectorBudget} from './answer-collector.ts';
import {sendKillRequest} from './kill-messages.ts';

const nonceBytes = 8;
/** Longest time that a stopping daemon waits for claims to be settled, in milliseconds. */
const settleTimeoutMs = 3000;

export type EntryOnceOptions = {
	readonly self: ClaimHolder;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly pools: PeerPools;
	readonly peerKey: string;
	readonly limits: OnceLimits;
};

/** Executes the once calls of the entry, mints keys and sends kill requests. */
export class EntryOnce {
	/**
	 * @example
	 * const onceCalls = EntryOnceCalls.create(options);
	 */
	static create(options: EntryOnceOptions): EntryOnce {
		return new EntryOnce(options);
	}

	readonly ledger: OnceCallExecutor;
	readonly secret: string;
	readonly #options: EntryOnceOptions;
	readonly #budget = CollectorBudget.create();
	#limits: OnceLimits;

	private constructor(options: EntryOnceOptions) {
		this.#options = options;
		this.#limits = options.limits;
		this.secret = options.peerKey;
		this.ledger = OnceCallExecutor.create(
			options.self,
			{
				table: options.table,
				objects: options.objects,
				holderClient: {killNonce: async (holder, nonce) => this.#killNonceAtHolder(holder, nonce)},
				readNowMs: () => Date.now(),
				readRandom: () => randomBytes(nonceBytes).toString('hex'),
				async wait(delayMs) {
					await wait(delayMs, undefined, {ref: false});
				},
			},
			options.limits,
			NonceRegistry.create(defaultMaxNonces),
		);
	}

	applyLimits(limits: OnceLimits): void {
		this.#limits = limits;
		this.ledger.applyLimits(limits);
	}

	createCollector(): AnswerCollector {
		return AnswerCollector.create(this.#budget, this.#limits.maxAnswerBytes);
	}

	/** Mints a key whose call may run on one guard instance only. */
	createKey(service: string, caller: string, instanceId: string): string {
		const nonce = formatNonce(Date.now(), randomBytes(nonceBytes).toString('hex'));
		return signMintedKey({service, caller, instanceId, nonce}, this.secret);
	}

	/**
	 * Kills the nonce of a lost attempt at its guard. `neverSent` means that the guard has not sent
	 * the call and won't send it later.
	 */
	async probeGuard(member: Member, nonce: string): Promise<KillVerdict> {
		const {pools, peerKey} = this.#options;
		const killRequest = {role: 'guard', instanceId: member.instanceId, nonce} as const;
		return sendKillRequest(pools.open(member, readMonotonicMs()), peerKey, killRequest);
	}

	/** Waits for claims that are being settled, up to `settleTimeoutMs`. */
	async waitForSettlements(): Promise<void> {
		await Promise.race([this.ledger.waitForSettlements(), wait(settleTimeoutMs)]);
	}

	async #killNonceAtHolder(holder: ClaimHolder, nonce: string): Promise<KillVerdict> {
		const {pools, peerKey} = this.#options;
		const killRequest = {role: 'holder', instanceId: holder.instanceId, nonce} as const;
		return sendKillRequest(pools.open(holder, readMonotonicMs()), peerKey, killRequest);
	}
}
