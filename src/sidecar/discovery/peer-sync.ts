/**
 * Synchronizes configuration and members between peers when a sidecar can't reach the store, or has just started:
 * a store that was restored may show an older configuration until the operators write again.
 *
 * Replies carry the version of the peer's configuration, so a newer one is fetched from that peer. While
 * the store is unavailable, a few peers are polled for changes. A peer that announced directly that it is
 * leaving is polled in any case until it is ready again: it announces directly only when the store is
 * unavailable, restarts without knowing any peer, and this sidecar may not have noticed the outage yet.
 */
import {type Logger} from '../../reporting/logger.ts';
import {type MessageLog} from '../reporting/message-log.ts';
import {type Member, type MeshConfig} from '../types.ts';
import {noConfigVersion} from './active-config.ts';
import {DepartedPeers} from './departed-peers.ts';
import {type Directory} from './directory.ts';
import {type MemberView} from './member-view.ts';
import {
	decodeSyncRequest,
	decodePeerState,
	type SyncRequest,
	type PeerState,
} from './peer-state.ts';

/** How often peers are polled while the store is unavailable, and departed peers at any time. */
const pollIntervalMs = 700;
/** A peer in the other region responds within 100 ms; a lost packet adds about 200 ms. */
const responseTimeoutMs = 700;

/** A newer configuration than this sidecar's is fetched from a peer after this time; mostly a watcher relays it sooner. */
const fetchDelayMs = 150;
/** A peer that still lacks a version after this time is sent it; most get it from the store sooner. */
const pushDelayMs = 400;

/** Number of peers picked for one poll. */
const peersPerPoll = 2;
/** Number of random peers that are sent a change of the local server while the store is unavailable. */
const maxDirectPeers = 24;

export type PeerSyncOptions = {
	readonly instance: string;
	readonly directory: Directory;
	readonly logger: Logger;
	readonly messageLog: Pick<MessageLog, 'recordIgnored'>;
	readConfig(): MeshConfig | undefined;
	isStoreUnavailable(): boolean;
	/** The announcement of this instance; undefined while its server is not known. */
	readOwnMember(): Member | undefined;
	/** Handles the source of a configuration that a peer sent. */
	handleConfig(source: string, from: string): void;
	handleMember(member: Member): void;
};

export class PeerSync {
	/**
	 * @example
	 * const sync = PeerSync.create(options);
	 * sync.start();
	 */
	static create(options: PeerSyncOptions): PeerSync {
		return new PeerSync(options);
	}

	/** Peers with an unanswered request. */
	readonly #pending = new Set<string>();
	/** Peers with an older configuration, and when this was noticed or the state was last pushed to them. */
	readonly #outdatedPeers = new Map<string, number>();
	readonly #departedPeers: DepartedPeers;
	#timer: NodeJS.Timeout | undefined;
	#fetchTimer: NodeJS.Timeout | undefined;
	/** Whether a peer has answered since the start. */
	#hasHeardPeer = false;

	private constructor(private readonly options: PeerSyncOptions) {
		this.#departedPeers = DepartedPeers.create(options.directory);
	}

	start(): void {
		this.#timer = setInterval(() => {
			if (this.options.isStoreUnavailable()) {
				this.#pollPeers();
			} else if (!this.#hasHeardPeer) {
				this.#pollFirstPeers();
			}

			this.#pollDepartedPeers();
		}, pollIntervalMs);
		this.#timer.unref();
	}

	stop(): void {
		clearInterval(this.#timer);
		clearTimeout(this.#fetchTimer);
	}

	/**
	 * Answers a peer's sync request, and applies the state that came with it.
	 *
	 * @throws {TypeError} when the text is not a valid request
	 */
	answerRequest(text: string): string {
		const request = decodeSyncRequest(text);
		if (request === undefined) {
			throw new TypeError(`invalid sync request of ${text.length} characters`);
		}

		this.#applyState(request.state, 'a peer');
		const config = this.options.readConfig();
		const version = config?.version ?? noConfigVersion;
		const own = this.options.readOwnMember();
		const known = this.options.directory.findMember(request.from)?.member;
		const state: PeerState = {
			version,
			...(version > request.state.version && {config: config!.source}),
			...(own !== undefined && {own}),
			...(known !== undefined && {known}),
			...(request.wantsMembers && {members: this.#listMembers()}),
		};
		return JSON.stringify(state);
	}

	/** Fetches a newer configuration from a peer, or sends this sidecar's to a peer with an older one. */
	handleVersion(instance: string, version: number): void {
		const ownVersion = this.#readVersion();
		if (version === ownVersion) {
			this.#outdatedPeers.delete(instance);
			return;
		}

		const view = this.options.directory.findMember(instance);
		if (view === undefined) {
			return;
		}

		if (version > ownVersion) {
			this.#fetchLater(view, version);
		} else {
			this.#pushIfStillOutdated(view);
		}
	}

	/** Announces the local server directly to peers while the store is unavailable. */
	announceDirectly(): void {
		if (!this.options.isStoreUnavailable()) {
			return;
		}

		for (const view of pickRandom(this.#listPeers(), maxDirectPeers)) {
			void this.#sendRequest(view, {wantsMembers: false, state: this.#createOwnState()});
		}
	}

	/** Handles an announcement that a peer sent directly instead of through the store. */
	handleDirectAnnouncement(member: Member): void {
		this.options.handleMember(member);
		if (member.state !== 'ready') {
			this.#departedPeers.add(member.instance, performance.now());
		}
	}

	/** Fetches a newer configuration from a peer unless it arrives otherwise in the meantime. */
	#fetchLater(view: MemberView, version: number): void {
		if (this.#fetchTimer !== undefined) {
			return;
		}

		this.#fetchTimer = setTimeout(() => {
			this.#fetchTimer = undefined;
			if (this.#readVersion() < version) {
				void this.#sendRequest(view, {wantsMembers: false, state: this.#createOwnState()});
			}
		}, fetchDelayMs);
		this.#fetchTimer.unref();
	}

	#pushIfStillOutdated(view: MemberView): void {
		const nowMs = performance.now();
		const {instance} = view.member;
		const outdatedSinceMs = this.#outdatedPeers.get(instance) ?? nowMs;
		this.#outdatedPeers.set(instance, outdatedSinceMs);
		if (nowMs - outdatedSinceMs >= pushDelayMs) {
			this.#outdatedPeers.set(instance, nowMs);
			this.#pushState(view);
		}
	}

	/** Sends the configuration and all members. */
	#pushState(view: MemberView): void {
		const config = this.options.readConfig();
		if (config !== undefined) {
			const state = {version: config.version, config: config.source, members: this.#listMembers()};
			void this.#sendRequest(view, {wantsMembers: false, state});
		}
	}

	#createOwnState(): PeerState {
		const own = this.options.readOwnMember();
		return {version: this.#readVersion(), ...(own !== undefined && {own})};
	}

	#applyState(state: PeerState, from: string): void {
		if (state.config !== undefined) {
			this.options.handleConfig(state.config, from);
		}

		if (state.own !== undefined) {
			this.handleDirectAnnouncement(state.own);
		}

		if (state.known !== undefined) {
			this.options.handleMember(state.known);
		}

		for (const member of state.members ?? []) {
			this.options.handleMember(member);
		}
	}

	#listPeers(): MemberView[] {
		return this.options.directory.list().filter(view => view.transport.kind === 'link');
	}

	#listMembers(): Member[] {
		return this.options.directory.list().map(view => view.member);
	}

	#readVersion(): number {
		return this.options.readConfig()?.version ?? noConfigVersion;
	}

	/** Polls a few peers, and a few that are leaving or down, since their return may have gone unnoticed. */
	#pollPeers(): void {
		const peers = this.#listPeers();
		const unready = peers.filter(view => view.member.state !== 'ready');
		for (const view of [...pickRandom(unready, peersPerPoll), ...pickRandom(peers, peersPerPoll)]) {
			void this.#sendRequest(view, {wantsMembers: true, state: this.#createOwnState()});
		}
	}

	/** Polls a few peers after the start for what the store may have lost. */
	#pollFirstPeers(): void {
		for (const view of pickRandom(this.#listPeers(), peersPerPoll)) {
			void this.#sendRequest(view, {wantsMembers: false, state: this.#createOwnState()});
		}
	}

	/** Polls peers that announced directly that they are leaving, until they are ready again. */
	#pollDepartedPeers(): void {
		const views = this.#departedPeers.list(performance.now());
		for (const view of pickRandom(views, peersPerPoll)) {
			void this.#sendRequest(view, {wantsMembers: false, state: this.#createOwnState()});
		}
	}

	async #sendRequest(view: MemberView, body: Omit<SyncRequest, 'from'>): Promise<void> {
		const {instance} = view.member;
		if (this.#pending.has(instance) || view.transport.kind !== 'link') {
			return;
		}

		const request: SyncRequest = {...body, from: this.options.instance};
		this.#pending.add(instance);
		const text = await view.transport.pool.sync(JSON.stringify(request), responseTimeoutMs);
		this.#pending.delete(instance);
		if (text === undefined) {
			this.options.logger.warn({peer: instance}, 'peer did not answer a sync request');
			return;
		}

		const state = decodePeerState(text);
		if (state === undefined) {
			const reason = `invalid sync response of ${text.length} characters`;
			const message = {source: 'peer', cause: 'undecodable', reason, sender: instance} as const;
			this.options.messageLog.recordIgnored(message);
			return;
		}

		this.#hasHeardPeer = true;
		this.#applyState(state, instance);
		if (state.version < this.#readVersion() && request.state.config === undefined) {
			this.#pushState(view);
		}
	}
}

/** Picks up to `count` random views without repetition. */
function pickRandom(views: readonly MemberView[], count: number): MemberView[] {
	const rest = [...views];
	const picked: MemberView[] = [];
	while (picked.length < count && rest.length > 0) {
		picked.push(...rest.splice(Math.floor(Math.random() * rest.length), 1));
	}

	return picked;
}
