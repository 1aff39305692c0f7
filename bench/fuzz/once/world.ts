/**
 * A small world for once calls: a table, daemons, two guards and backend servers that count.
 *
 * Every message between them waits at a gate until the test lets it pass, so a test decides about every
 * order of events.
 */
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {computeRowKey, decodeClaim} from '../../../src/once/claim-row.ts';
import {type ClaimHolder, type KillVerdict, type OnceRequest} from '../../../src/once/types.ts';
import {PlatformError} from '../../../src/store/errors.ts';
import {type TableRow, type TableWrite} from '../../../src/store/types.ts';
import {Gates} from './gates.ts';
import {GuardWays} from './guard-ways.ts';
import {formatRequest, network, stepMs, type Attempt, type TableFault} from './types.ts';
import {WorldEntry} from './world-entry.ts';

/** Everything outside the code under test. */
export class World {
	/**
	 * @example
	 * const world = World.create(['a', 'b']);
	 */
	static create(entryNames: readonly string[]): World {
		return new World(entryNames);
	}

	fault: TableFault = 'ok';
	/** Whether guards shed; undefined sheds every fourth call. */
	isShedding: boolean | undefined;
	nowMs = 1_700_000_000_000;
	readonly rows = new Map<string, TableRow>();
	readonly objects = new Map<string, Uint8Array>();
	readonly lateEffects: Array<() => void> = [];
	readonly attempts: Attempt[] = [];
	/** Runs on the backend server, by caller and key. */
	readonly runs = new Map<string, number>();
	/** Keys that were handed to a guard. */
	readonly sentKeys = new Set<string>();
	readonly faults = {crashes: 0, freezes: 0, restarts: 0, cuts: 0, tableFaults: 0, lateEffects: 0};
	private readonly entries = new Map<string, WorldEntry>();
	private readonly gates = Gates.create();
	private readonly guards = GuardWays.create(this);
	private sequence = 0;

	private constructor(entryNames: readonly string[]) {
		for (const name of entryNames) {
			this.entries.set(name, WorldEntry.create(this, name, 0));
		}
	}

	/** Waits until the test lets a message of `owner` pass. */
	async wait(owner: string, canPass: () => boolean = () => true): Promise<void> {
		return this.gates.wait(owner, canPass);
	}

	/** Lets one waiting message pass and everything that follows from it happen. */
	async step(index: number): Promise<boolean> {
		if (!this.gates.pass(index, owner => this.isFrozen(owner))) {
			return false;
		}

		this.nowMs += stepMs;
		await this.flush();
		return true;
	}

	/** Starts a call. */
	async call(entryName: string, request: OnceRequest): Promise<Attempt> {
		const entry = this.entries.get(entryName)!;
		const attempt: Attempt = {request, entry: entry.instanceId, runs: 0};
		this.attempts.push(attempt);
		void this.runAttempt(entry, attempt);
		await this.flush();
		return attempt;
	}

	applyWrite(write: TableWrite): ResultAsync<void, PlatformError> {
		const key = write.kind === 'put' ? write.row : write.key;
		const current = this.rows.get(key.partition);
		const {condition} = write;
		const isMet =
			condition.kind === 'none' ||
			(condition.kind === 'absent'
				? current === undefined
				: current?.revision === condition.revision);
		if (!isMet) {
			return errAsync(PlatformError.create('conditionFailed', 'test', key.partition, ''));
		}

		if (write.kind === 'put') {
			this.rows.set(key.partition, write.row);
		} else {
			this.rows.delete(key.partition);
		}

		return okAsync(undefined);
	}

	/** Carries a question to a holder; a holder that does not answer may still act on it later. */
	async probeHolder(asker: string, holder: ClaimHolder, nonce: string): Promise<KillVerdict> {
		const verdict = await Promise.race([
			this.deliverQuestion(holder, nonce),
			this.answerTimeout(asker, holder),
		]);
		await this.wait(asker);
		return verdict;
	}

	setFault(fault: TableFault): void {
		this.fault = fault;
		this.faults.tableFaults += fault === 'ok' ? 0 : 1;
	}

	/** Lets one late write take effect. */
	applyLateEffect(index: number): void {
		const [effect] = this.lateEffects.splice(index % Math.max(1, this.lateEffects.length), 1);
		if (effect !== undefined) {
			this.faults.lateEffects++;
			effect();
		}
	}

	/** Replaces a daemon by a new instance; its messages on the wire still arrive. */
	crash(entryName: string): void {
		const old = this.entries.get(entryName)!;
		this.gates.remove(old.instanceId);
		this.entries.set(entryName, WorldEntry.create(this, entryName, ++this.sequence));
		this.faults.crashes++;
	}

	setFrozen(entryName: string, frozen: boolean): void {
		this.entries.get(entryName)!.frozen = frozen;
		this.faults.freezes += frozen ? 1 : 0;
	}

	/** Cuts the connections of all calls between entries and guards. */
	cutConnections(): void {
		this.faults.cuts += this.guards.cutConnections();
	}

	/** Replaces a guard by a new instance; calls that wait there are lost. */
	restartGuard(index: number): void {
		this.guards.restart(index);
		this.faults.restarts++;
	}

	/** Ends every fault and lets everything happen that is still to happen. */
	async heal(): Promise<void> {
		this.fault = 'ok';
		for (const entry of this.entries.values()) {
			entry.frozen = false;
		}

		do {
			while (this.lateEffects.length > 0) {
				this.applyLateEffect(0);
			}
		} while (await this.step(0));
	}

	createRandom(): string {
		return (++this.sequence).toString(16).padStart(16, '0');
	}

	countRuns(request: OnceRequest): number {
		return this.runs.get(formatRequest(request)) ?? 0;
	}

	isSent(request: OnceRequest): boolean {
		return this.sentKeys.has(formatRequest(request));
	}

	/** Tells whether the claim of a request, if there is one, can be asked about. */
	isHolderAlive(request: OnceRequest): boolean {
		const row = this.rows.get(computeRowKey(request).partition);
		const state = row === undefined ? undefined : decodeClaim(row)?.state;
		if (state?.kind !== 'claimed') {
			return true;
		}

		return this.entries.get(state.holder.address)?.instanceId === state.holder.instanceId;
	}

	private async runAttempt(entry: WorldEntry, attempt: Attempt): Promise<void> {
		attempt.result = await entry.ledger.run(attempt.request, async nonce =>
			this.guards.send(entry, attempt, nonce),
		);
	}

	private async deliverQuestion(holder: ClaimHolder, nonce: string): Promise<KillVerdict> {
		await this.wait(network, () => !this.isFrozen(holder.instanceId));
		const entry = this.entries.get(holder.address);
		return entry?.instanceId === holder.instanceId ? entry.ledger.killNonce(nonce) : 'unreachable';
	}

	private async answerTimeout(asker: string, holder: ClaimHolder): Promise<KillVerdict> {
		await this.wait(asker, () => this.isFrozen(holder.instanceId));
		return 'unreachable';
	}

	private isFrozen(owner: string): boolean {
		for (const entry of this.entries.values()) {
			if (entry.instanceId === owner) {
				return entry.frozen;
			}
		}

		return false;
	}

	/** Lets everything happen that waits for no gate. */
	private async flush(): Promise<void> {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
