/**
 * How one daemon comes to the newest policy version: from the table, and from its peers.
 *
 * The aggregate does no I/O: events go in, and what to read, fetch or adopt comes out. The version in
 * force only ever rises.
 */
import {verifyDigest} from './digest.ts';
import {type PolicyHead, type PolicyVersion} from './types.ts';

/** Where a version can be had. */
export type PolicySource =
	| {readonly kind: 'table'}
	| {readonly kind: 'peer'; readonly address: string; readonly peerPort: number};

export type SpreadEvent =
	/** Comes once a second; `isPoller` when this daemon reads the table for its data centre. */
	| {readonly kind: 'tick'; readonly isPoller: boolean}
	| {readonly kind: 'headRead'; readonly head: PolicyHead}
	| {readonly kind: 'headFailed'}
	/** A peer said what it has in force. */
	| {readonly kind: 'heard'; readonly head: PolicyHead; readonly source: PolicySource}
	/** Every member that could be reached was asked after the start. */
	| {readonly kind: 'peersAsked'}
	| {readonly kind: 'fetched'; readonly version: PolicyVersion; readonly source: PolicySource}
	| {readonly kind: 'fetchFailed'; readonly source: PolicySource};

export type SpreadAction =
	| {readonly kind: 'readHead'}
	| {readonly kind: 'askPeers'}
	/** From the table the named version; from a peer whatever it has in force. */
	| {readonly kind: 'fetch'; readonly version: number; readonly source: PolicySource}
	| {readonly kind: 'adopt'; readonly version: PolicyVersion; readonly source: PolicySource}
	/** The daemon may serve, under the version that it has in force. */
	| {readonly kind: 'ready'}
	/** Two different documents claim the same version, or a document does not fit its digest. */
	| {readonly kind: 'disagreement'; readonly version: number; readonly source: PolicySource};

export const spreadLimits = {
	/** Daemons of a data centre that read the head version. */
	pollersPerDataCentre: 3,
	/** Longest that a start waits for the table and the peers. */
	maxStartMs: 5000,
	/** Sources of a wanted version that are kept. */
	maxSources: 4,
	/** Time after which a fetch counts as failed. */
	fetchTimeoutMs: 1000,
} as const;

const tableSource: PolicySource = {kind: 'table'};

export class PolicySpread {
	/**
	 * `inForce` is the built-in version at a daemon's start.
	 *
	 * @example
	 * const spread = PolicySpread.create(builtInVersion, performance.now());
	 */
	static create(inForce: PolicyVersion, nowMs: number): PolicySpread {
		return new PolicySpread(inForce, nowMs);
	}

	#wanted: PolicyHead;
	#sources: PolicySource[] = [];
	#fetch: {readonly source: PolicySource; readonly startedMs: number} | undefined;
	#headState: 'waiting' | 'read' | 'failed' = 'waiting';
	#isAskingPeers = false;
	#hasAskedPeers = false;
	#isReady = false;
	#isStarted = false;
	#actions: SpreadAction[] = [];

	private constructor(
		private version: PolicyVersion,
		private readonly startedMs: number,
	) {
		this.#wanted = {version: version.version, digest: version.digest};
	}

	get inForce(): PolicyVersion {
		return this.version;
	}

	get isReady(): boolean {
		return this.#isReady;
	}

	/**
	 * Handles one event and returns what the daemon has to do. Times are milliseconds of the monotonic
	 * clock.
	 *
	 * @example
	 * const actions = spread.handle({kind: 'headRead', head}, performance.now());
	 */
	handle(event: SpreadEvent, nowMs: number): SpreadAction[] {
		this.#actions = [];
		this.#dispatch(event, nowMs);
		this.#becomeReadyWhenDue(nowMs);
		return this.#actions;
	}

	#dispatch(event: SpreadEvent, nowMs: number): void {
		switch (event.kind) {
			case 'tick': {
				this.#handleTick(event.isPoller, nowMs);
				break;
			}

			case 'headRead': {
				this.#headState = 'read';
				this.#handleHead(event.head, tableSource, nowMs);
				break;
			}

			case 'headFailed': {
				this.#handleHeadFailure();
				break;
			}

			case 'heard': {
				this.#handleHead(event.head, event.source, nowMs);
				break;
			}

			case 'peersAsked': {
				this.#hasAskedPeers = true;
				break;
			}

			case 'fetched': {
				this.#fetch = undefined;
				this.#handleFetched(event.version, event.source);
				this.#fetchNext(nowMs);
				break;
			}

			case 'fetchFailed': {
				this.#fetch = undefined;
				this.#removeSource(event.source);
				this.#fetchNext(nowMs);
				break;
			}
		}
	}

	#handleTick(isPoller: boolean, nowMs: number): void {
		if (!this.#isStarted) {
			this.#isStarted = true;
			this.#actions.push({kind: 'readHead'});
			return;
		}

		// A start keeps asking until one of them answers.
		if (isPoller || !this.#isReady) {
			this.#actions.push({kind: 'readHead'});
		}

		if (this.#fetch && nowMs - this.#fetch.startedMs >= spreadLimits.fetchTimeoutMs) {
			this.#removeSource(this.#fetch.source);
			this.#fetch = undefined;
		}

		if (this.#isBehind() && this.#sources.length === 0) {
			this.#sources.push(tableSource);
		}

		this.#fetchNext(nowMs);
	}

	/** Without the table, a start has to ask the peers. */
	#handleHeadFailure(): void {
		if (this.#headState === 'read') {
			return;
		}

		this.#headState = 'failed';
		if (!this.#isAskingPeers) {
			this.#isAskingPeers = true;
			this.#actions.push({kind: 'askPeers'});
		}
	}

	#handleHead(head: PolicyHead, source: PolicySource, nowMs: number): void {
		if (head.version === this.version.version && head.version > 0) {
			if (head.digest !== this.version.digest) {
				this.#actions.push({kind: 'disagreement', version: head.version, source});
			}

			return;
		}

		if (head.version < this.version.version || head.version < this.#wanted.version) {
			return;
		}

		if (head.version > this.#wanted.version) {
			this.#wanted = head;
			this.#sources = [];
		}

		this.#addSource(source);
		this.#fetchNext(nowMs);
	}

	#handleFetched(fetched: PolicyVersion, source: PolicySource): void {
		this.#removeSource(source);
		const isWanted = fetched.version === this.#wanted.version;
		const isForeign = isWanted && fetched.digest !== this.#wanted.digest;
		if (!verifyDigest(fetched) || isForeign) {
			this.#actions.push({kind: 'disagreement', version: fetched.version, source});
			return;
		}

		if (fetched.version <= this.version.version) {
			return;
		}

		const follows = fetched.version === this.version.version + 1 && this.version.version > 0;
		if (follows && fetched.previousDigest !== this.version.digest) {
			this.#actions.push({kind: 'disagreement', version: fetched.version, source});
			return;
		}

		this.#adopt(fetched, source);
	}

	#adopt(version: PolicyVersion, source: PolicySource): void {
		if (version.version <= this.version.version) {
			throw new Error(
				`policy version ${version.version} does not follow ${this.version.version} in force`,
			);
		}

		this.version = version;
		if (!this.#isBehind()) {
			this.#wanted = {version: version.version, digest: version.digest};
			this.#sources = [];
		}

		this.#actions.push({kind: 'adopt', version, source});
	}

	#fetchNext(nowMs: number): void {
		const [source] = this.#sources;
		if (!this.#isBehind() || this.#fetch !== undefined || source === undefined) {
			return;
		}

		this.#fetch = {source, startedMs: nowMs};
		this.#actions.push({kind: 'fetch', version: this.#wanted.version, source});
	}

	#isBehind(): boolean {
		return this.#wanted.version > this.version.version;
	}

	#addSource(source: PolicySource): void {
		if (this.#sources.length < spreadLimits.maxSources && !this.#sources.some(isSame(source))) {
			this.#sources.push(source);
		}
	}

	#removeSource(source: PolicySource): void {
		const isRemoved = isSame(source);
		this.#sources = this.#sources.filter(other => !isRemoved(other));
	}

	/**
	 * The table's head is never lower than a version that a member has in force, so its answer alone
	 * is enough; without the table every member that can be reached is asked.
	 */
	#becomeReadyWhenDue(nowMs: number): void {
		if (this.#isReady) {
			return;
		}

		const hasAnswer =
			this.#headState === 'read' || (this.#headState === 'failed' && this.#hasAskedPeers);
		const isLate = nowMs - this.startedMs >= spreadLimits.maxStartMs;
		if (isLate || (hasAnswer && !this.#isBehind())) {
			this.#isReady = true;
			this.#actions.push({kind: 'ready'});
		}
	}
}

function isSame(source: PolicySource): (other: PolicySource) => boolean {
	return other => {
		if (source.kind === 'table' || other.kind === 'table') {
			return source.kind === other.kind;
		}

		return source.address === other.address && source.peerPort === other.peerPort;
	};
}
