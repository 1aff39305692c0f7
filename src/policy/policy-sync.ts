/**
 * Policy sync: decides how a daemon gets the newest policy version from the table and from its peers.
 *
 * The state machine does no I/O: it takes events and returns what to read, fetch or adopt. The version
 * in force never decreases.
 */
import {verifyDigest} from './digest.ts';
import {type PolicyHead, type PolicyVersion} from './types.ts';

/** Where a version can be fetched from. */
export type PolicySource =
	| {readonly kind: 'table'}
	| {readonly kind: 'peer'; readonly address: string; readonly peerPort: number};

export type PolicySyncEvent =
	/** Sent once a second; `isPoller` when this daemon polls the table for its data centre. */
	| {readonly kind: 'tick'; readonly isPoller: boolean}
	| {readonly kind: 'headRead'; readonly head: PolicyHead}
	| {readonly kind: 'headFailed'}
	/** A peer reported the version that it has in force. */
	| {readonly kind: 'heard'; readonly head: PolicyHead; readonly source: PolicySource}
	/** After the start, every reachable member was asked for its version. */
	| {readonly kind: 'peersAsked'}
	| {readonly kind: 'fetched'; readonly version: PolicyVersion; readonly source: PolicySource}
	| {readonly kind: 'fetchFailed'; readonly source: PolicySource};

export type PolicySyncAction =
	| {readonly kind: 'readHead'}
	| {readonly kind: 'askPeers'}
	/** The table returns the requested version, a peer the one that it has in force. */
	| {readonly kind: 'fetch'; readonly version: number; readonly source: PolicySource}
	| {readonly kind: 'adopt'; readonly version: PolicyVersion; readonly source: PolicySource}
	/** The daemon may start to serve requests under the version in force. */
	| {readonly kind: 'ready'}
	/** Two documents share a version number, or a version fails the check of its digest or its chain. */
	| {readonly kind: 'disagreement'; readonly version: number; readonly source: PolicySource};

export const policySyncLimits = {
	/** Daemons in each data centre that poll the head row. */
	pollersPerDataCentre: 3,
	/** Time after which a starting daemon no longer waits for the table and the peers. */
	maxStartMs: 5000,
	/** Most sources that are kept for the target version. */
	maxSources: 4,
	/** Time after which a fetch counts as failed. */
	fetchTimeoutMs: 1000,
} as const;

const tableSource: PolicySource = {kind: 'table'};

export class PolicySync {
	/**
	 * @param inForce - the built-in version when the daemon starts
	 * @param nowMs - monotonic time
	 * @example
	 * const sync = PolicySync.create(builtInVersion, performance.now());
	 */
	static create(inForce: PolicyVersion, nowMs: number): PolicySync {
		return new PolicySync(inForce, nowMs);
	}

	#target: PolicyHead;
	#sources: PolicySource[] = [];
	#fetch: {readonly source: PolicySource; readonly startedAtMs: number} | undefined;
	#headState: 'waiting' | 'read' | 'failed' = 'waiting';
	#hasStartedPeerQueries = false;
	#hasFinishedPeerQueries = false;
	#isReady = false;
	#hasTicked = false;
	#actions: PolicySyncAction[] = [];

	private constructor(
		private version: PolicyVersion,
		private readonly startedAtMs: number,
	) {
		this.#target = {version: version.version, digest: version.digest};
	}

	get inForce(): PolicyVersion {
		return this.version;
	}

	get isReady(): boolean {
		return this.#isReady;
	}

	/**
	 * Handles one event.
	 *
	 * @param nowMs - monotonic time
	 * @returns what the daemon must do, in order
	 * @example
	 * const actions = sync.handle({kind: 'headRead', head}, performance.now());
	 */
	handle(event: PolicySyncEvent, nowMs: number): PolicySyncAction[] {
		this.#actions = [];
		this.#dispatch(event, nowMs);
		this.#updateReadiness(nowMs);
		return this.#actions;
	}

	#dispatch(event: PolicySyncEvent, nowMs: number): void {
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
				this.#hasFinishedPeerQueries = true;
				break;
			}

			case 'fetched': {
				this.#fetch = undefined;
				this.#handleFetched(event.version, event.source);
				this.#startNextFetch(nowMs);
				break;
			}

			case 'fetchFailed': {
				this.#fetch = undefined;
				this.#removeSource(event.source);
				this.#startNextFetch(nowMs);
				break;
			}
		}
	}

	#handleTick(isPoller: boolean, nowMs: number): void {
		if (!this.#hasTicked) {
			this.#hasTicked = true;
			this.#actions.push({kind: 'readHead'});
			return;
		}

		// A starting daemon reads the head until it is ready, even if it is not a poller.
		if (isPoller || !this.#isReady) {
			this.#actions.push({kind: 'readHead'});
		}

		if (this.#fetch && nowMs - this.#fetch.startedAtMs >= policySyncLimits.fetchTimeoutMs) {
			this.#removeSource(this.#fetch.source);
			this.#fetch = undefined;
		}

		if (this.#isBehind() && this.#sources.length === 0) {
			this.#sources.push(tableSource);
		}

		this.#startNextFetch(nowMs);
	}

	/** Asks the peers, once, when the table can't be read after the start. */
	#handleHeadFailure(): void {
		if (this.#headState === 'read') {
			return;
		}

		this.#headState = 'failed';
		if (!this.#hasStartedPeerQueries) {
			this.#hasStartedPeerQueries = true;
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

		if (head.version < this.version.version || head.version < this.#target.version) {
			return;
		}

		if (head.version > this.#target.version) {
			this.#target = head;
			this.#sources = [];
		}

		this.#addSource(source);
		this.#startNextFetch(nowMs);
	}

	#handleFetched(fetched: PolicyVersion, source: PolicySource): void {
		this.#removeSource(source);
		const isTarget = fetched.version === this.#target.version;
		const hasOtherDigest = isTarget && fetched.digest !== this.#target.digest;
		if (!verifyDigest(fetched) || hasOtherDigest) {
			this.#actions.push({kind: 'disagreement', version: fetched.version, source});
			return;
		}

		if (fetched.version <= this.version.version) {
			return;
		}

		const isSuccessor = fetched.version === this.version.version + 1 && this.version.version > 0;
		if (isSuccessor && fetched.previousDigest !== this.version.digest) {
			this.#actions.push({kind: 'disagreement', version: fetched.version, source});
			return;
		}

		this.#adopt(fetched, source);
	}

	#adopt(version: PolicyVersion, source: PolicySource): void {
		if (version.version <= this.version.version) {
			throw new Error(
				`policy version ${version.version} is not newer than version ${this.version.version} in force`,
			);
		}

		this.version = version;
		if (!this.#isBehind()) {
			this.#target = {version: version.version, digest: version.digest};
			this.#sources = [];
		}

		this.#actions.push({kind: 'adopt', version, source});
	}

	#startNextFetch(nowMs: number): void {
		const [source] = this.#sources;
		if (!this.#isBehind() || this.#fetch !== undefined || source === undefined) {
			return;
		}

		this.#fetch = {source, startedAtMs: nowMs};
		this.#actions.push({kind: 'fetch', version: this.#target.version, source});
	}

	#isBehind(): boolean {
		return this.#target.version > this.version.version;
	}

	#addSource(source: PolicySource): void {
		if (
			this.#sources.length < policySyncLimits.maxSources &&
			!this.#sources.some(isSameAs(source))
		) {
			this.#sources.push(source);
		}
	}

	#removeSource(source: PolicySource): void {
		const isRemoved = isSameAs(source);
		this.#sources = this.#sources.filter(other => !isRemoved(other));
	}

	/**
	 * Becomes ready once the newest known version is in force, or at the latest after `maxStartMs`. The
	 * table's head is never lower than a version that a member has in force, so it is enough alone;
	 * without the table, every reachable member must have been asked.
	 */
	#updateReadiness(nowMs: number): void {
		if (this.#isReady) {
			return;
		}

		const hasAnswer =
			this.#headState === 'read' || (this.#headState === 'failed' && this.#hasFinishedPeerQueries);
		const isLate = nowMs - this.startedAtMs >= policySyncLimits.maxStartMs;
		if (isLate || (hasAnswer && !this.#isBehind())) {
			this.#isReady = true;
			this.#actions.push({kind: 'ready'});
		}
	}
}

function isSameAs(source: PolicySource): (other: PolicySource) => boolean {
	return other => {
		if (source.kind === 'table' || other.kind === 'table') {
			return source.kind === other.kind;
		}

		return source.address === other.address && source.peerPort === other.peerPort;
	};
}
