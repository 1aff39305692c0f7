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

export type EntryOnceCallsOptions = {
	readonly self: ClaimHolder;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly pools: PeerPools;
	readonly peerKey: string;
	readonly limits: OnceLimits;
};

/** Executes the once calls of the entry, mints keys and sends kill requests. */
export class EntryOnceCalls {
	/**
	 * @example
	 * const onceCalls = EntryOnceCalls.create(options);
	 */
	static create(options: EntryOnceCallsOptions): EntryOnceCalls {
		return new EntryOnceCalls(options);
	}

	readonly executor: OnceCallExecutor;
	readonly secret: string;
	readonly #options: EntryOnceCallsOptions;
	readonly #budget = CollectorBudget.create();
	#limits: OnceLimits;

	private constructor(options: EntryOnceCallsOptions) {
		this.#options = options;
		this.#limits = options.limits;
		this.secret = options.peerKey;
		this.executor = OnceCallExecutor.create(
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
		this.executor.applyLimits(limits);
	}

	createCollector(): AnswerCollector {
		return AnswerCollector.create(this.#budget, this.#limits.maxAnswerBytes);
	}

	/** Mints a key whose call may run on one guard instance only. */
	mintKey(service: string, caller: string, instanceId: string): string {
		const nonce = formatNonce(Date.now(), randomBytes(nonceBytes).toString('hex'));
		return signMintedKey({service, caller, instanceId, nonce}, this.secret);
	}

	/**
	 * Kills the nonce of a lost attempt at its guard. `neverSent` means that the guard has not sent
	 * the call and won't send it later.
	 */
	async killNonceAtGuard(member: Member, nonce: string): Promise<KillVerdict> {
		const {pools, peerKey} = this.#options;
		const killRequest = {role: 'guard', instanceId: member.instanceId, nonce} as const;
		return sendKillRequest(pools.getPool(member, readMonotonicMs()), peerKey, killRequest);
	}

	/** Waits for claims that are being settled, up to `settleTimeoutMs`. */
	async waitForSettlements(): Promise<void> {
		await Promise.race([this.executor.waitForSettlements(), wait(settleTimeoutMs)]);
	}

	async #killNonceAtHolder(holder: ClaimHolder, nonce: string): Promise<KillVerdict> {
		const {pools, peerKey} = this.#options;
		const killRequest = {role: 'holder', instanceId: holder.instanceId, nonce} as const;
		return sendKillRequest(pools.getPool(holder, readMonotonicMs()), peerKey, killRequest);
	}
}
