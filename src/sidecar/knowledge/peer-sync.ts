/**
 * Hands configuration and members from peer to peer where the store does not reach a sidecar.
 *
 * Replies name the configuration of the peer, so a newer one is fetched where it was heard of. While
 * the store is lost, a peer is asked each second for what changed.
 */
import {type Logger} from '../../reporting/logger.ts';
import {type Member, type MeshConfig} from '../types.ts';
import {noVersion} from './config-keeper.ts';
import {type Directory} from './directory.ts';
import {type MemberView} from './member-view.ts';

/** How often a peer is asked while the store is lost. */
const askEveryMs = 700;
/** A peer in the other region answers within 100 ms; a lost packet costs some 200 ms more. */
const answerTimeoutMs = 700;

/** A version that a peer still lacks after this time is handed to it; the store reaches most sooner. */
const offerAfterMs = 400;

type PeerState = {readonly config?: string; readonly members?: readonly Member[]};
type Question = {
	readonly configVersion: number;
	readonly wantsMembers: boolean;
	/** What the asker has and the peer seems to lack. */
	readonly offer?: PeerState;
};

export type PeerSyncOptions = {
	readonly directory: Directory;
	readonly logger: Logger;
	readConfig(): MeshConfig | undefined;
	isStoreLost(): boolean;
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

	#isAsking = false;
	/** Peers that lag behind, with the time when it was noticed or something was last offered. */
	readonly #laggards = new Map<string, number>();

	private constructor(private readonly options: PeerSyncOptions) {}

	start(): void {
		const timer = setInterval(() => {
			if (this.options.isStoreLost()) {
				void this.#askAnyone();
			}
		}, askEveryMs);
		timer.unref();
	}

	/** Answers a peer's question. */
	answer(text: string): string {
		const question = JSON.parse(text) as Question;
		this.#takeState(question.offer ?? {}, 'a peer');
		const config = this.options.readConfig();
		const isNewer = config !== undefined && config.version > question.configVersion;
		const state: PeerState = {
			...(isNewer && {config: config.source}),
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
			void this.#ask(view, {configVersion: ownVersion, wantsMembers: false});
		} else {
			this.#offer(view);
		}
	}

	#offer(view: MemberView): void {
		const nowMs = performance.now();
		const {instance} = view.member;
		const sinceMs = this.#laggards.get(instance) ?? nowMs;
		this.#laggards.set(instance, sinceMs);
		const config = this.options.readConfig();
		if (nowMs - sinceMs < offerAfterMs || config === undefined) {
			return;
		}

		this.#laggards.set(instance, nowMs);
		const offer = {config: config.source, members: this.#listMembers()};
		void this.#ask(view, {configVersion: config.version, wantsMembers: false, offer});
	}

	#takeState(state: PeerState, from: string): void {
		if (state.config !== undefined) {
			this.options.handleConfig(state.config, from);
		}

		for (const member of state.members ?? []) {
			this.options.handleMember(member);
		}
	}

	#listMembers(): Member[] {
		return this.options.directory.list().map(view => view.member);
	}

	#readVersion(): number {
		return this.options.readConfig()?.version ?? noVersion;
	}

	async #askAnyone(): Promise<void> {
		const views = this.options.directory.list().filter(view => view.way.kind === 'link');
		const view = views[Math.floor(Math.random() * views.length)];
		if (view !== undefined) {
			await this.#ask(view, {configVersion: this.#readVersion(), wantsMembers: true});
		}
	}

	async #ask(view: MemberView, question: Question): Promise<void> {
		if (this.#isAsking || view.way.kind !== 'link') {
			return;
		}

		this.#isAsking = true;
		const text = await view.way.pool.sync(JSON.stringify(question), answerTimeoutMs);
		this.#isAsking = false;
		if (text === undefined) {
			this.options.logger.warn({peer: view.member.instance}, 'peer did not answer a sync');
			return;
		}

		this.#takeState(JSON.parse(text) as PeerState, view.member.instance);
	}
}
