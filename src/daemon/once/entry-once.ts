/**
 * Once calls at the entry: the ledger of claims and the questions to other daemons.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as wait} from 'node:timers/promises';
import {type Member} from '../../membership/types.ts';
import {signMintedKey} from '../../once/minted-key.ts';
import {formatNonce} from '../../once/nonce.ts';
import {defaultMaxNonces, NonceRegistry} from '../../once/nonce-registry.ts';
import {OnceLedger} from '../../once/once-ledger.ts';
import {type Holder, type KillVerdict, type OnceLimits} from '../../once/types.ts';
import {type ObjectStore, type Table} from '../../store/types.ts';
import {readMonotonicMs} from '../clock.ts';
import {type PeerPools} from '../entry/peer-pools.ts';
import {AnswerCollector, CollectorBudget} from './answer-collector.ts';
import {sendKill} from './kill-messages.ts';

const nonceBytes = 8;
/** Time that a daemon which stops gives to settlements under way, in milliseconds. */
const settleGraceMs = 3000;

export type EntryOnceOptions = {
	readonly self: Holder;
	readonly table: Table;
	readonly objects: ObjectStore;
	readonly pools: PeerPools;
	readonly peerKey: string;
	readonly limits: OnceLimits;
};

/** What the entry needs for once calls. */
export class EntryOnce {
	/**
	 * @example
	 * const once = EntryOnce.create(options);
	 */
	static create(options: EntryOnceOptions): EntryOnce {
		return new EntryOnce(options);
	}

	readonly ledger: OnceLedger;
	readonly secret: string;
	readonly #options: EntryOnceOptions;
	readonly #budget = CollectorBudget.create();
	#limits: OnceLimits;

	private constructor(options: EntryOnceOptions) {
		this.#options = options;
		this.#limits = options.limits;
		this.secret = options.peerKey;
		this.ledger = OnceLedger.create(
			options.self,
			{
				table: options.table,
				objects: options.objects,
				holders: {killNonce: async (holder, nonce) => this.#probeHolder(holder, nonce)},
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

	/** Mints a key that may run on one guard instance only. */
	createKey(service: string, caller: string, instanceId: string): string {
		const nonce = formatNonce(Date.now(), randomBytes(nonceBytes).toString('hex'));
		return signMintedKey({service, caller, instanceId, nonce}, this.secret);
	}

	/** Asks the guard of a lost attempt; `neverSent` is its word that it won't send it either. */
	async probeGuard(member: Member, nonce: string): Promise<KillVerdict> {
		const {pools, peerKey} = this.#options;
		const question = {role: 'guard', instanceId: member.instanceId, nonce} as const;
		return sendKill(pools.open(member, readMonotonicMs()), peerKey, question);
	}

	/** Waits a bounded time for settlements under way. */
	async waitForSettlements(): Promise<void> {
		await Promise.race([this.ledger.waitForSettlements(), wait(settleGraceMs)]);
	}

	async #probeHolder(holder: Holder, nonce: string): Promise<KillVerdict> {
		const {pools, peerKey} = this.#options;
		const question = {role: 'holder', instanceId: holder.instanceId, nonce} as const;
		return sendKill(pools.open(holder, readMonotonicMs()), peerKey, question);
	}
}
