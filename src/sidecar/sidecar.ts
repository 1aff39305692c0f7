/** One sidecar: entry, guard and control of one backend server, wired together. */
import {randomBytes} from 'node:crypto';
import type http from 'node:http';
import {type Result} from 'neverthrow';
import {type Logger} from '../reporting/logger.ts';
import {createControlHandler, createReadyHandler, listenForRequests} from './control-server.ts';
import {type EntryContext} from './entry/entry-context.ts';
import {EntryServer} from './entry/entry-server.ts';
import {SendNonces} from './entry/send-nonces.ts';
import {ConfigKeeper} from './knowledge/config-keeper.ts';
import {Directory} from './knowledge/directory.ts';
import {createMemberHandler} from './knowledge/member-handler.ts';
import {ViewFactory} from './knowledge/member-views.ts';
import {type MemberView} from './knowledge/member-view.ts';
import {PeerSync} from './knowledge/peer-sync.ts';
import {StoreFollower} from './knowledge/store-follower.ts';
import {LinkServer} from './link/link-server.ts';
import {type ReplyNews} from './link/messages.ts';
import {NewsDesk} from './news-desk.ts';
import {Admission} from './overload/admission.ts';
import {RetryBudget} from './overload/retry-budget.ts';
import {type SharedTable} from './ports.ts';
import {createMetricsHandler} from './reporting/metrics-page.ts';
import {RequestLog} from './reporting/request-log.ts';
import {ServerSide} from './server-side.ts';
import {StopSequence} from './stop-sequence.ts';
import {
	type HeadCodec,
	type Member,
	type MeshConfig,
	type ServerMessage,
	type SidecarSettings,
} from './types.ts';

/** What the sidecar needs of the world around it. */
export type Surroundings = {
	readonly codec: HeadCodec;
	readonly table: SharedTable;
	/** Row that holds the newest configuration. */
	readonly configKey: string;
	decodeConfig(source: string): Result<MeshConfig, Error>;
	decodeServerMessage(url: string, body: string): Result<ServerMessage, Error>;
};

export class Sidecar {
	/**
	 * @example
	 * const sidecar = Sidecar.create(settings, surroundings, logger);
	 * await sidecar.start();
	 */
	static create(settings: SidecarSettings, surroundings: Surroundings, logger: Logger): Sidecar {
		return new Sidecar(settings, surroundings, logger);
	}

	readonly #incarnation = randomBytes(6).toString('hex');
	readonly #directory: Directory;
	readonly #config: ConfigKeeper;
	readonly #serverSide: ServerSide;
	readonly #newsDesk: NewsDesk;
	readonly #sync: PeerSync;
	readonly #entry: EntryServer;
	readonly #linkServer: LinkServer;
	readonly #log: RequestLog;
	readonly #follower: StoreFollower;
	readonly #stopSequence: StopSequence;
	readonly #handleMember: (member: Member) => void;
	readonly #closeLinks: () => void;
	#servers: http.Server[] = [];

	private constructor(
		private settings: SidecarSettings,
		private readonly surroundings: Surroundings,
		private readonly logger: Logger,
	) {
		this.#log = RequestLog.create(logger);
		const views = ViewFactory.create(settings, logger, () => this.#serverSide.guard.readLoad());
		this.#directory = Directory.create(member => views.createView(member));
		this.#closeLinks = () => {
			views.close();
		};

		this.#config = this.#createConfigKeeper();
		this.#serverSide = this.#createServerSide();
		this.#newsDesk = this.#createNewsDesk();
		this.#handleMember = createMemberHandler({
			instance: settings.instance,
			directory: this.#directory,
			logger,
			handleOwn: member => {
				this.#serverSide.handleOwnMember(member);
			},
		});
		this.#follower = this.#createFollower();
		this.#sync = this.#createSync();
		this.#entry = EntryServer.create(this.#createEntryContext());
		this.#linkServer = this.#createLinkServer();
		this.#stopSequence = StopSequence.create({
			graceMs: settings.graceMs,
			logger,
			serverSide: this.#serverSide,
			entry: this.#entry,
		});
	}

	/** Listens and follows the store; callers are served as soon as a configuration is known. */
	async start(): Promise<void> {
		const {callerAddress, linkAddress, readyAddress, controlAddress, metricsAddress} =
			this.settings;
		this.#follower.start();
		await Promise.all([this.#linkServer.listen(linkAddress), this.#entry.listen(callerAddress)]);
		this.#servers = await Promise.all([
			listenForRequests(controlAddress, this.#createControlHandler()),
			listenForRequests(
				readyAddress,
				createReadyHandler(() => this.#isReady()),
			),
			listenForRequests(metricsAddress, this.#createMetricsHandler()),
		]);
		this.#sync.start();
		this.#serverSide.start();
		const {instance} = this.settings;
		this.logger.info({instance, incarnation: this.#incarnation}, 'sidecar listens');
	}

	/** Takes over settings that have changed. */
	reload(settings: SidecarSettings): void {
		this.settings = settings;
		this.logger.info({service: settings.service}, 'settings were read anew');
	}

	/** Ends what is under way, serves those who still come for a while, and resolves. */
	async stop(): Promise<void> {
		return this.#stopSequence.run();
	}

	/** Closes all listeners and connections at once; what is under way is cut. */
	close(): void {
		this.#follower.stop();
		this.#sync.stop();
		this.surroundings.table.close();
		this.#linkServer.close();
		this.#entry.close();
		this.#serverSide.close();
		this.#closeLinks();
		for (const server of this.#servers) {
			server.closeAllConnections();
			server.close();
		}
	}

	#isReady(): boolean {
		return this.#config.routes !== undefined && !this.#stopSequence.isStopping;
	}

	#createConfigKeeper(): ConfigKeeper {
		return ConfigKeeper.create({
			logger: this.logger,
			decode: source => this.surroundings.decodeConfig(source),
			handleChange: config => {
				this.#entry.setLimits(config.limits);
			},
		});
	}

	#createServerSide(): ServerSide {
		return ServerSide.create({
			settings: this.settings,
			codec: this.surroundings.codec,
			table: this.surroundings.table,
			logger: this.logger,
			incarnation: this.#incarnation,
			directory: this.#directory,
			log: this.#log,
			readNewsDesk: () => this.#newsDesk,
			readConfig: () => this.#config.routes?.config,
			handleAnnounced: () => {
				this.#sync.tellDirectly();
			},
		});
	}

	#createNewsDesk(): NewsDesk {
		const {instance, region, retryRatio} = this.settings;
		return NewsDesk.create({
			instance,
			region,
			retryRatio,
			directory: this.#directory,
			logger: this.logger,
			readLoad: () => this.#serverSide.guard.readLoad(),
			readConfigVersion: () => this.#config.version,
			readService: () => this.#serverSide.service,
		});
	}

	#createFollower(): StoreFollower {
		const {table, configKey} = this.surroundings;
		return StoreFollower.create({
			table,
			configKey,
			instance: this.settings.instance,
			logger: this.logger,
			handleConfig: source => {
				this.#config.take(source, 'store');
			},
			handleOwnRow: row => {
				this.#serverSide.handleOwnRow(row);
			},
			handleMember: this.#handleMember,
			handleRemoved: instance => {
				this.#directory.remove(instance);
			},
		});
	}

	#createSync(): PeerSync {
		return PeerSync.create({
			directory: this.#directory,
			logger: this.logger,
			readConfig: () => this.#config.routes?.config,
			isStoreLost: () => this.#follower.isLost || this.#serverSide.isAnnouncementLost,
			readOwnMember: () => this.#serverSide.member,
			handleConfig: (source, from) => {
				this.#config.take(source, from);
			},
			handleMember: this.#handleMember,
		});
	}

	#createEntryContext(): EntryContext {
		const {retryRatio: ratio, retryWindowMs: windowMs, retrySlack: slack} = this.settings;
		const {model, costs, board} = this.#newsDesk;
		const random = () => Math.random();
		const nonces = SendNonces.create(this.#incarnation);
		return {
			codec: this.surroundings.codec,
			directory: this.#directory,
			guard: this.#serverSide.guard,
			budget: RetryBudget.create({ratio, windowMs, slack}, () => this.#directory.size),
			admission: Admission.create({costs, board, random}),
			model,
			costs,
			log: this.#log,
			readRoutes: () => this.#config.routes,
			readCallerService: () => this.#serverSide.service ?? this.settings.service,
			isStopping: () => this.#stopSequence.isStopping,
			isClosing: () => this.#stopSequence.isClosing,
			handleNews: (from, route, news) => {
				this.#handleNews(from, route, news);
			},
			handleMember: member => {
				this.#sync.handleOwnWord(member);
			},
			createNonce: () => nonces.take(),
			random,
		};
	}

	#createLinkServer(): LinkServer {
		return LinkServer.create({
			guard: this.#serverSide.guard,
			incarnation: this.#incarnation,
			readNews: (route, callerService) => this.#newsDesk.collect(route, callerService),
			answerSync: question => this.#sync.answer(question),
			handleBadFrame: reason => {
				this.logger.warn({reason}, 'frame of a peer not understood');
			},
		});
	}

	#handleNews(from: MemberView, route: string, news: ReplyNews): void {
		from.recordLoad(news.load, performance.now());
		this.#newsDesk.take(from.member, route, news);
		this.#sync.handleVersion(from.member.instance, news.configVersion);
	}

	#createControlHandler() {
		return createControlHandler({
			logger: this.logger,
			decodeMessage: (url, body) => this.surroundings.decodeServerMessage(url, body),
			handleMessage: message => {
				this.#serverSide.handleMessage(message);
			},
		});
	}

	#createMetricsHandler() {
		return createMetricsHandler({
			log: this.#log,
			readLoad: () => this.#serverSide.guard.readLoad(),
			readConfigVersion: () => this.#config.version,
			countMembers: () => this.#directory.size,
			countServerConnections: () => this.#serverSide.pool.opened,
		});
	}
}
