/**
 * A small simulation for once calls: a table, daemons, two guards and backend servers that count runs.
 *
 * Every message between them waits until the test delivers it, so the test controls the order of events.
 */
import {errAsync, okAsync, type ResultAsync} from 'neverthrow';
import {computeRowKey, decodeClaim} from '../../../src/once/claim-row.ts';
import {type ClaimHolder, type KillVerdict, type OnceRequest} from '../../../src/once/types.ts';
import {PlatformError} from '../../../src/store/errors.ts';
import {type TableRow, type TableWrite} from '../../../src/store/types.ts';
import {MessageScheduler} from './message-scheduler.ts';
import {SimulatedEntry} from './simulated-entry.ts';
import {SimulatedGuards} from './simulated-guards.ts';
import {formatRequestKey, networkOwner, stepMs, type Attempt, type TableFault} from './types.ts';

/** The simulated environment of the code under test. */
export class OnceSimulation {
	/**
	 * @example
	 * const simulation = OnceSimulation.create(['a', 'b']);
	 */
	static create(entryNames: readonly string[]): OnceSimulation {
		return new OnceSimulation(entryNames);
	}

	tableFault: TableFault = 'ok';
	/** Whether guards shed all calls; if undefined, they shed during every fourth step. */
	isShedding: boolean | undefined;
	nowMs = 1_700_000_000_000;
	readonly rows = new Map<string, TableRow>();
	readonly objects = new Map<string, Uint8Array>();
	readonly lateEffects: Array<() => void> = [];
	readonly attempts: Attempt[] = [];
	/** Number of runs on the backend servers, by caller and key. */
	readonly runs = new Map<string, number>();
	/** Callers and keys of calls that were sent to a guard. */
	readonly sentKeys = new Set<string>();
	readonly faults = {crashes: 0, freezes: 0, restarts: 0, cuts: 0, tableFaults: 0, lateEffects: 0};
	private readonly entries = new Map<string, SimulatedEntry>();
	private readonly messages = MessageScheduler.create();
	private readonly guards = SimulatedGuards.create(this);
	private lastSerial = 0;

	private constructor(entryNames: readonly string[]) {
		for (const name of entryNames) {
			this.entries.set(name, SimulatedEntry.create(this, name, 0));
		}
	}

	/** Waits until the test delivers a message of `owner`. */
	async wait(owner: string, canDeliver: () => boolean = () => true): Promise<void> {
		return this.messages.wait(owner, canDeliver);
	}

	/** Delivers one pending message and waits until its effects are complete; false if there was none. */
	async step(index: number): Promise<boolean> {
		if (!this.messages.deliver(index, owner => this.isFrozen(owner))) {
			return false;
		}

		this.nowMs += stepMs;
		await this.runPendingCallbacks();
		return true;
	}

	/** Starts a call at an entry and returns its attempt, whose result is set later. */
	async call(entryName: string, request: OnceRequest): Promise<Attempt> {
		const entry = this.entries.get(entryName)!;
		const attempt: Attempt = {request, entry: entry.instanceId, runCount: 0};
		this.attempts.push(attempt);
		void this.runAttempt(entry, attempt);
		await this.runPendingCallbacks();
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

	/** Sends a kill request to the holder of a claim; a holder that times out may still handle it later. */
	async killNonceAtHolder(
		requester: string,
		holder: ClaimHolder,
		nonce: string,
	): Promise<KillVerdict> {
		const verdict = await Promise.race([
			this.deliverKillRequest(holder, nonce),
			this.waitForTimeout(requester, holder),
		]);
		await this.wait(requester);
		return verdict;
	}

	setTableFault(fault: TableFault): void {
		this.tableFault = fault;
		this.faults.tableFaults += fault === 'ok' ? 0 : 1;
	}

	/** Applies one delayed write. */
	applyLateEffect(index: number): void {
		const [effect] = this.lateEffects.splice(index % Math.max(1, this.lateEffects.length), 1);
		if (effect !== undefined) {
			this.faults.lateEffects++;
			effect();
		}
	}

	/** Replaces a daemon by a new instance; messages that the old one has sent still arrive. */
	crash(entryName: string): void {
		const old = this.entries.get(entryName)!;
		this.messages.removeOwner(old.instanceId);
		this.entries.set(entryName, SimulatedEntry.create(this, entryName, ++this.lastSerial));
		this.faults.crashes++;
	}

	setFrozen(entryName: string, frozen: boolean): void {
		this.entries.get(entryName)!.isFrozen = frozen;
		this.faults.freezes += frozen ? 1 : 0;
	}

	/** Cuts the connections of all calls between entries and guards. */
	cutConnections(): void {
		this.faults.cuts += this.guards.cutConnections();
	}

	/** Replaces a guard by a new instance; calls in progress at the old one are lost. */
	restartGuard(index: number): void {
		this.guards.restart(index);
		this.faults.restarts++;
	}

	/** Ends every fault, then applies all delayed writes and delivers all pending messages. */
	async heal(): Promise<void> {
		this.tableFault = 'ok';
		for (const entry of this.entries.values()) {
			entry.isFrozen = false;
		}

		do {
			while (this.lateEffects.length > 0) {
				this.applyLateEffect(0);
			}
		} while (await this.step(0));
	}

	createNonce(): string {
		return (++this.lastSerial).toString(16).padStart(16, '0');
	}

	countRuns(request: OnceRequest): number {
		return this.runs.get(formatRequestKey(request)) ?? 0;
	}

	isSent(request: OnceRequest): boolean {
		return this.sentKeys.has(formatRequestKey(request));
	}

	/** Whether a request has no claim or one whose holder still runs and can answer a kill request. */
	canAskHolder(request: OnceRequest): boolean {
		const row = this.rows.get(computeRowKey(request).partition);
		const state = row === undefined ? undefined : decodeClaim(row)?.state;
		if (state?.kind !== 'claimed') {
			return true;
		}

		return this.entries.get(state.holder.address)?.instanceId === state.holder.instanceId;
	}

	private async runAttempt(entry: SimulatedEntry, attempt: Attempt): Promise<void> {
		attempt.result = await entry.executor.run(attempt.request, async nonce =>
			this.guards.send(entry, attempt, nonce),
		);
	}

	private async deliverKillRequest(holder: ClaimHolder, nonce: string): Promise<KillVerdict> {
		await this.wait(networkOwner, () => !this.isFrozen(holder.instanceId));
		const entry = this.entries.get(holder.address);
		return entry?.instanceId === holder.instanceId
			? entry.executor.killNonce(nonce)
			: 'unreachable';
	}

	private async waitForTimeout(requester: string, holder: ClaimHolder): Promise<KillVerdict> {
		await this.wait(requester, () => this.isFrozen(holder.instanceId));
		return 'unreachable';
	}

	private isFrozen(owner: string): boolean {
		for (const entry of this.entries.values()) {
			if (entry.instanceId === owner) {
				return entry.isFrozen;
			}
		}

		return false;
	}

	/** Waits until all callbacks have run that need no further message. */
	private async runPendingCallbacks(): Promise<void> {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
