/** Wires together one sidecar: the entry, the guard and the control endpoint of one backend server. */
import {randomBytes} from 'node:crypto';
import {type Logger} from '../reporting/logger.ts';
import {Endpoints} from './endpoints.ts';
import {type EntryContext} from './entry/entry-context.ts';
import {EntryServer} from './entry/entry-server.ts';
import {NonceGenerator} from './entry/nonce-generator.ts';
import {ActiveConfig} from './discovery/active-config.ts';
import {FencedTable} from './discovery/fenced-table.ts';
import {Directory} from './discovery/directory.ts';
import {createMemberHandler} from './discovery/member-handler.ts';
import {ViewFactory} from './discovery/member-view-factory.ts';
import {type MemberView} from './discovery/member-view.ts';
import {PeerSync} from './discovery/peer-sync.ts';
import {StoreSync} from './discovery/store-sync.ts';
import {createSyncHandler} from './discovery/sync-handler.ts';
import {LinkServer} from './link/link-server.ts';
import {type ReplyMetadata} from './link/messages.ts';
import {MetadataExchange} from './metadata-exchange.ts';
import {AdmissionController} from './overload/admission-controller.ts';
import {RetryBudget} from './overload/retry-budget.ts';
import {type SidecarPlatform} from './sidecar-platform.ts';
import {Quarantine} from './quarantine/quarantine.ts';
import {SidecarLogs} from './reporting/sidecar-logs.ts';
import {Scheduler} from './scheduling/scheduler.ts';
import {LocalServerManager} from './local-server-manager.ts';
import {StopSequence} from './stop-sequence.ts';
import {type Member, type SidecarSettings} from './types.ts';

export class Sidecar {
	/**
	 * @example
	 * const sidecar = Sidecar.create(settings, platform, logger);
	 * await sidecar.start();
	 */
	static create(settings: SidecarSettings, platform: SidecarPlatform, logger: Logger): Sidecar {
		return new Sidecar(settings, platform, logger);
	}

	readonly #incarnation = randomBytes(6).toString('hex');
	readonly #directory: Directory;
	readonly #table: FencedTable;
	readonly #activeConfig: ActiveConfig;
	readonly #localServer: LocalServerManager;
	readonly #metadata: MetadataExchange;
	readonly #admission: AdmissionController;
	readonly #peerSync: PeerSync;
	readonly #entry: EntryServer;
	readonly #linkServer: LinkServer;
	readonly #logs: SidecarLogs;
	readonly #quarantine: Quarantine;
	readonly #storeSync: StoreSync;
	readonly #stopSequence: StopSequence;
	readonly #handleMember: (member: Member) => void;
	readonly #views: ViewFactory;
	readonly #scheduler = Scheduler.create();
	readonly #endpoints: Endpoints;
	private constructor(
		private settings: SidecarSettings,
		private readonly platform: SidecarPlatform,
		private readonly logger: Logger,
	) {
		this.#logs = SidecarLogs.create(logger, this.#scheduler);
		this.#views = ViewFactory.create(settings, this.#logs.messageLog, () =>
			this.#localServer.guard.readLoad(),
		);
		this.#directory = Directory.create(member => this.#views.createView(member));
		this.#quarantine = Quarantine.create(this.#directory, logger);
		this.#table = FencedTable.create(platform.table, logger, () => {
			this.#storeSync.handleRestored();
		});
		this.#activeConfig = this.#createActiveConfig();
		this.#localServer = this.#createLocalServerManager();
		this.#metadata = this.#createMetadataExchange();
		const {costs, overloadReports} = this.#metadata;
		this.#admission = AdmissionController.create({costs, overloadReports, random: Math.random});
		this.#handleMember = createMemberHandler({
			instance: settings.instance,
			directory: this.#directory,
			logger,
			handleOwnMember: member => {
				this.#localServer.handleOwnMember(member);
			},
			handleUpdated: member => {
				this.#storeSync.recordMember(member);
			},
		});
		this.#storeSync = this.#createStoreSync();
		this.#peerSync = this.#createPeerSync();
		this.#entry = EntryServer.create(this.#createEntryContext());
		this.#linkServer = this.#createLinkServer();
		this.#stopSequence = StopSequence.create({
			graceMs: settings.graceMs,
			logger,
			localServer: this.#localServer,
			entry: this.#entry,
		});
		this.#endpoints = this.#createEndpoints();
	}

	/** Starts all listeners and watches the store; callers are served once a configuration is known. */
	async start(): Promise<void> {
		const {instance, callerAddress, linkAddress} = this.settings;
		this.#scheduler.start();
		this.#storeSync.start();
		await Promise.all([this.#linkServer.listen(linkAddress), this.#entry.listen(callerAddress)]);
		await this.#endpoints.start();
		this.#peerSync.start();
		this.#quarantine.start();
		this.#localServer.start();
		this.logger.info({instance, incarnation: this.#incarnation}, 'sidecar is listening');
	}

	reload(settings: SidecarSettings): void {
		this.settings = settings;
		this.logger.info({service: settings.service}, 'settings reloaded');
	}

	/** Stops gracefully: finishes active requests and still serves new ones for a while, then resolves. */
	async stop(): Promise<void> {
		return this.#stopSequence.run();
	}

	/** Closes all listeners and connections at once; cuts off active requests. */
	close(): void {
		this.#storeSync.stop();
		this.#peerSync.stop();
		this.#quarantine.stop();
		this.#table.close();
		this.#linkServer.close();
		this.#entry.close();
		this.#localServer.close();
		this.#views.close();
		this.#endpoints.close();
		this.#scheduler.stop();
	}

	#createActiveConfig(): ActiveConfig {
		return ActiveConfig.create({
			...this.#logs,
			decode: source => this.platform.decodeConfig(source),
			handleChange: config => {
				this.#entry.setLimits(config.limits);
			},
		});
	}

	#createLocalServerManager(): LocalServerManager {
		return LocalServerManager.create({
			settings: this.settings,
			codec: this.platform.codec,
			table: this.#table,
			...this.#logs,
			incarnation: this.#incarnation,
			directory: this.#directory,
			quarantine: this.#quarantine,
			runQueue: this.#scheduler.runQueue,
			readService: () => this.settings.service,
			readMetadataExchange: () => this.#metadata,
			readConfig: () => this.#activeConfig.routes?.config,
			handleAnnounced: () => {
				this.#peerSync.announceDirectly();
			},
		});
	}

	#createMetadataExchange(): MetadataExchange {
		const {instance, region, retryBudgetRatio} = this.settings;
		return MetadataExchange.create({
			instance,
			region,
			retryBudgetRatio,
			directory: this.#directory,
			logger: this.logger,
			readLoad: () => this.#localServer.guard.readLoad(),
			readConfigVersion: () => this.#activeConfig.version,
			listDemands: nowMs => this.#admission.listDemands(nowMs),
			readService: () => this.#localServer.service,
		});
	}

	#createStoreSync(): StoreSync {
		const {instance, dataCentre, configMs} = this.settings;
		return StoreSync.create({
			instance,
			dataCentre,
			configMs,
			table: this.#table,
			configKey: this.platform.configKey,
			directory: this.#directory,
			...this.#logs,
			handleConfig: (source, position) => {
				this.#activeConfig.apply(source, 'store', position);
			},
			handleOwnRow: (row, position) => {
				this.#localServer.handleOwnRow(row, position);
			},
			handleMember: this.#handleMember,
			createSummary: nowMs => this.#metadata.createSummary(nowMs),
			applySummary: (summary, nowMs) => {
				this.#metadata.applySummary(summary, nowMs);
				this.#admission.setSharedDemands(summary.demands, nowMs);
			},
		});
	}

	#createPeerSync(): PeerSync {
		return PeerSync.create({
			instance: this.settings.instance,
			directory: this.#directory,
			...this.#logs,
			readConfig: () => this.#activeConfig.routes?.config,
			isStoreUnavailable: () =>
				this.#storeSync.isUnavailable || this.#localServer.isAnnouncementFailing,
			readOwnMember: () => this.#localServer.member,
			handleConfig: (source, from) => {
				this.#activeConfig.apply(source, from);
			},
			handleMember: this.#handleMember,
		});
	}

	#createEntryContext(): EntryContext {
		const {callRatios, costs} = this.#metadata;
		const nonces = NonceGenerator.create(this.#incarnation);
		return {
			codec: this.platform.codec,
			directory: this.#directory,
			guard: this.#localServer.guard,
			budget: RetryBudget.createFor(this.settings, () => this.#directory.size),
			admission: this.#admission,
			callRatios,
			costs,
			log: this.#logs.requestLog,
			quarantine: this.#quarantine,
			runQueue: this.#scheduler.runQueue,
			acceptQueue: this.#scheduler.callerAcceptQueue,
			logger: this.logger,
			readRoutes: () => this.#activeConfig.routes,
			readCallerService: () => this.#localServer.service ?? this.settings.service,
			isStopping: () => this.#stopSequence.isStopping,
			canAccept: boundMs => this.#stopSequence.canAccept(boundMs),
			handleMetadata: (from, route, metadata) => {
				this.#handleReplyMetadata(from, route, metadata);
			},
			handleMember: member => {
				this.#peerSync.handleDirectAnnouncement(member);
			},
			createNonce: () => nonces.next(),
			random: Math.random,
		};
	}

	#createLinkServer(): LinkServer {
		return LinkServer.create({
			guard: this.#localServer.guard,
			incarnation: this.#incarnation,
			createMetadata: (route, callerService) => this.#metadata.createMetadata(route, callerService),
			answerSync: createSyncHandler(this.#quarantine, this.#storeSync, this.#peerSync),
			runQueue: this.#scheduler.runQueue,
			acceptQueue: this.#scheduler.linkAcceptQueue,
			handleUnread: head => {
				this.#logs.requestLog.recordCancellation({...head, afterMs: 0, phase: 'unread'});
			},
			handleInvalidFrame: reason => {
				this.#logs.messageLog.recordInvalidFrame(reason);
			},
		});
	}

	#handleReplyMetadata(from: MemberView, route: string, metadata: ReplyMetadata): void {
		from.recordLoad(metadata.load, performance.now());
		this.#metadata.apply(from.member, route, metadata);
		this.#peerSync.handleVersion(from.member.instance, metadata.configVersion);
	}

	#createEndpoints(): Endpoints {
		return Endpoints.create({
			addresses: this.settings,
			control: {
				messageLog: this.#logs.messageLog,
				decodeMessage: (url, body) => this.platform.decodeServerMessage(url, body),
				handleMessage: (message, sender) => this.#localServer.handleMessage(message, sender),
			},
			metrics: {
				...this.#logs,
				log: this.#logs.requestLog,
				scheduler: this.#scheduler,
				readLoad: () => this.#localServer.guard.readLoad(),
				readConfigVersion: () => this.#activeConfig.version,
				readStoreEra: () => this.#table.era,
				readConfigAgeMs: () => this.#storeSync.readConfigAgeMs(),
				countMembers: () => this.#directory.size,
				countOpenedConnections: () => this.#localServer.pool.openedCount,
			},
			isReady: () => this.#activeConfig.routes !== undefined && !this.#stopSequence.isStopping,
		});
	}
}
