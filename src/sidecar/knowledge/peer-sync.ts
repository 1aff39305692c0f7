/**
 * Hands configuration and members from peer to peer where the store does not reach a sidecar.
 *
 * Replies name the configuration of the peer, so a newer one is fetched where it was heard of. While
 * the store is lost, a few peers are asked again and again for what changed. A peer that told by itself
 * that it leaves is asked in any case until it is back: it tells peers only when the store is lost, comes
 * back without knowing any of them, and this sidecar may not have noticed the loss yet.
 */
import {type Logger} from '../../reporting/logger.ts';
import {type Member, type MeshConfig} from '../types.ts';
import {noVersion} from './config-keeper.ts';
import {type Directory} from './directory.ts';
import {type MemberView} from './member-view.ts';
import {
	decodePeerQuestion,
	decodePeerState,
	type PeerQuestion,
	type PeerState,
} from './peer-state.ts';

/** How often peers are asked while the store is lost. */
const askEveryMs = 700;
/** A peer in the other region answers within 100 ms; a lost packet costs some 200 ms more. */
const answerTimeoutMs = 700;

/** A version that a peer still lacks after this time is handed to it; the store reaches most sooner. */
const offerAfterMs = 400;

/** A planned stop takes up to the grace of some 6 s, and a new start a few more; doubled. */
const awaitMs = 20_000;
/** Peers that are asked at a time while the store is lost. */
const askedAtATime = 2;
/** Peers that hear of a change of the own server while the store is lost; they are drawn from more. */
const maxToldDirectly = 24;

export type PeerSyncOptions = {
	readonly directory: Directory;
	readonly logger: Logger;
	readConfig(): MeshConfig | undefined;
	isStoreLost(): boolean;
	/** The own announcement; undefined while the server is not known. */
	readOwnMember(): Member | undefined;
	/** Takes the source of a configuration that a peer has. */
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

	/** Peers that have been asked and have not answered. */
	readonly #asked = new Set<string>();
	/** Peers that lag behind, with the time when it was noticed or something was last offered. */
	readonly #laggards = new Map<string, number>();
	/** Peers that told directly that they don't take work, with the time when they are given up. */
	readonly #awaited = new Map<string, number>();
	#timer: NodeJS.Timeout | undefined;

	private constructor(private readonly options: PeerSyncOptions) {}

	start(): void {
		this.#timer = setInterval(() => {
			if (this.options.isStoreLost()) {
				this.#askSome();
			}

			this.#askAwaited();
		}, askEveryMs);
		this.#timer.unref();
	}

	stop(): void {
		clearInterval(this.#timer);
	}

	/**
	 * Answers a peer's question, and takes what came with it.
	 *
	 * @throws {TypeError} when the text is no question
	 */
	answer(text: string): string {
		const question = decodePeerQuestion(text);
		if (question === undefined) {
			throw new TypeError('sync is no question');
		}

		this.#takeState(question.state, 'a peer');
		const config = this.options.readConfig();
		const version = config?.version ?? noVersion;
		const own = this.options.readOwnMember();
		const state: PeerState = {
			version,
			...(version > question.state.version && {config: config!.source}),
			...(own !== undefined && {own}),
			...(question.wantsMembers && {members: this.#listMembers()}),
		};
		return JSON.stringify(state);
	}

	/** Fetches the configuration of a peer that has a newer one, or hands the own to one that lags. */
	handleVersion(instance: string, version: number): void {
		const ownVersion = this.#readVersion();
		if (version === ownVersion) {
			this.#laggards.delete(instance);
			return;
		}

		const view = this.options.directory.findMember(instance);
		if (view === undefined) {
			return;
		}

		if (version > ownVersion) {
			void this.#ask(view, {wantsMembers: false, state: this.#createOwnState()});
		} else {
			this.#offerLater(view);
		}
	}

	/** Tells peers of a change of the own server that can't be written to the store. */
	tellDirectly(): void {
		if (!this.options.isStoreLost()) {
			return;
		}

		for (const view of pickSome(this.#listPeers(), maxToldDirectly)) {
			void this.#ask(view, {wantsMembers: false, state: this.#createOwnState()});
		}
	}

	/** Takes what a peer told of its own server, not by way of the store. */
	handleOwnWord(member: Member): void {
		this.options.handleMember(member);
		if (member.state !== 'ready') {
			this.#awaited.set(member.instance, performance.now() + awaitMs);
		}
	}

	#offerLater(view: MemberView): void {
		const nowMs = performance.now();
		const {instance} = view.member;
		const sinceMs = this.#laggards.get(instance) ?? nowMs;
		this.#laggards.set(instance, sinceMs);
		if (nowMs - sinceMs >= offerAfterMs) {
			this.#laggards.set(instance, nowMs);
			this.#offer(view);
		}
	}

	/** Hands over all that is known. */
	#offer(view: MemberView): void {
		const config = this.options.readConfig();
		if (config !== undefined) {
			const state = {version: config.version, config: config.source, members: this.#listMembers()};
			void this.#ask(view, {wantsMembers: false, state});
		}
	}

	#createOwnState(): PeerState {
		const own = this.options.readOwnMember();
		return {version: this.#readVersion(), ...(own !== undefined && {own})};
	}

	#takeState(state: PeerState, from: string): void {
		if (state.config !== undefined) {
			this.options.handleConfig(state.config, from);
		}

		if (state.own !== undefined) {
			this.handleOwnWord(state.own);
		}

		for (const member of state.members ?? []) {
			this.options.handleMember(member);
		}
	}

	#listPeers(): MemberView[] {
		return this.options.directory.list().filter(view => view.way.kind === 'link');
	}

	#listMembers(): Member[] {
		return this.options.directory.list().map(view => view.member);
	}

	#readVersion(): number {
		return this.options.readConfig()?.version ?? noVersion;
	}

	/** Asks a few peers; those that were last heard to leave or to be down may be back unheard. */
	#askSome(): void {
		const peers = this.#listPeers();
		const away = peers.filter(view => view.member.state !== 'ready');
		for (const view of [...pickSome(away, askedAtATime), ...pickSome(peers, askedAtATime)]) {
			void this.#ask(view, {wantsMembers: true, state: this.#createOwnState()});
		}
	}

	/** Asks those who left by their own word whether they are back. */
	#askAwaited(): void {
		const nowMs = performance.now();
		const views: MemberView[] = [];
		for (const [instance, untilMs] of this.#awaited) {
			const view = this.options.directory.findMember(instance);
			if (view === undefined || view.member.state === 'ready' || nowMs >= untilMs) {
				this.#awaited.delete(instance);
			} else {
				views.push(view);
			}
		}

		for (const view of pickSome(views, askedAtATime)) {
			void this.#ask(view, {wantsMembers: false, state: this.#createOwnState()});
		}
	}

	async #ask(view: MemberView, question: PeerQuestion): Promise<void> {
		const {instance} = view.member;
		if (this.#asked.has(instance) || view.way.kind !== 'link') {
			return;
		}

		this.#asked.add(instance);
		const text = await view.way.pool.sync(JSON.stringify(question), answerTimeoutMs);
		this.#asked.delete(instance);
		if (text === undefined) {
			this.options.logger.warn({peer: instance}, 'peer did not answer a sync');
			return;
		}

		const state = decodePeerState(text);
		if (state === undefined) {
			this.options.logger.warn(
				{peer: instance, bytes: text.length},
				'answer to a sync not understood',
			);
			return;
		}

		this.#takeState(state, instance);
		if (state.version < this.#readVersion() && question.state.config === undefined) {
			this.#offer(view);
		}
	}
}

/** Draws some of the views without repeats. */
function pickSome(views: readonly MemberView[], count: number): MemberView[] {
	const rest = [...views];
	const picked: MemberView[] = [];
	while (picked.length < count && rest.length > 0) {
		picked.push(...rest.splice(Math.floor(Math.random() * rest.length), 1));
	}

	return picked;
}
