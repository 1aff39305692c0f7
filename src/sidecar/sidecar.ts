/** One sidecar: entry, guard and control of one backend server, wired together. */
import {randomBytes} from 'node:crypto';
import {type Result} from 'neverthrow';
import {type Logger} from '../reporting/logger.ts';
import {createControlHandler, createReadyHandler, listenForRequests} from './control-server.ts';
import {type EntryContext} from './entry/entry-context.ts';
import {EntryServer} from './entry/entry-server.ts';
import {Guard} from './guard/guard.ts';
import {type CallOutcome} from './guard/guarded-call.ts';
import {LocalServer} from './guard/local-server.ts';
import {ServerPool} from './guard/server-pool.ts';
import {Announcer} from './knowledge/announcer.ts';
import {Directory} from './knowledge/directory.ts';
import {decodeMember} from './knowledge/member-codec.ts';
import {type Distance, distances, MemberView} from './knowledge/member-view.ts';
import {PeerSync} from './knowledge/peer-sync.ts';
import {RouteTable} from './knowledge/route-table.ts';
import {TableFollower} from './knowledge/table-follower.ts';
import {LinkPool} from './link/link-client.ts';
import {LinkServer} from './link/link-server.ts';
import {type ReplyNews} from './link/messages.ts';
import {Admission} from './overload/admission.ts';
import {CallModel} from './overload/call-model.ts';
import {CallerMix} from './overload/caller-mix.ts';
import {CostBook, type CostVector} from './overload/cost-book.ts';
import {OpenShare} from './overload/open-share.ts';
import {PressureBoard} from './overload/pressure-board.ts';
import {RefusalRate} from './overload/refusal-rate.ts';
import {RetryBudget} from './overload/retry-budget.ts';
import {type Row, type SharedTable} from './ports.ts';
import {createMetricsHandler} from './reporting/metrics-page.ts';
import {RequestLog} from './reporting/request-log.ts';
import {
	type HeadCodec,
	type Member,
	type MemberState,
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

/** Longest wait for a new configuration in one call; bounds how long a dead connection goes unnoticed. */
const configWaitMs = 5000;
/** Members change more often, and refusals correct an outdated view at once. */
const memberWaitMs = 15_000;
/** Changes of members come in bursts; one call fetches those of this span. */
const memberPauseMs = 700;
const configPauseMs = 20;
/** Costs of a route ride on each so many-th reply; they change slowly. */
const costsEvery = 8;
/** Part of the allowed repeats that may carry requests past a server that refuses at random. */
const repeatShare = 0.65;
/** How often the own server's state is compared with what is announced. */
const reviewMs = 250;
/** Part of the grace for which callers that still come are served after a stop signal. */
const serveOnShare = 0.75;
/** Without any request for this long after a stop signal, nobody comes any more. */
const quietMs = 1500;
const stopCheckMs = 100;

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
	readonly #server: LocalServer;
	readonly #pool: ServerPool;
	readonly #guard: Guard;
	readonly #directory: Directory;
	readonly #links = new Map<string, LinkPool>();
	readonly #announcer: Announcer;
	readonly #sync: PeerSync;
	readonly #entry: EntryServer;
	readonly #linkServer: LinkServer;
	readonly #log: RequestLog;
	readonly #configFollower: TableFollower;
	readonly #memberFollower: TableFollower;
	readonly #model = CallModel.create();
	readonly #mix = CallerMix.create(service => this.#directory.listService(service).length);
	readonly #costs = CostBook.create();
	readonly #openShare = OpenShare.create();
	readonly #refusals: RefusalRate;
	readonly #board: PressureBoard;
	#replies = 0;
	#outcomes = 0;
	#routes: RouteTable | undefined;
	#isStopping = false;
	#announced = '';
	#sentNonces = 0;
	#lastActiveMs = 0;

	private constructor(
		private settings: SidecarSettings,
		private readonly surroundings: Surroundings,
		private readonly logger: Logger,
	) {
		const {codec, table} = surroundings;
		this.#board = PressureBoard.create(settings.region);
		this.#refusals = RefusalRate.create(settings.retryRatio * repeatShare);
		this.#server = LocalServer.create(settings.drainMs);
		this.#pool = ServerPool.create(settings.serverAddress, codec);
		this.#log = RequestLog.create(logger);
		this.#directory = Directory.create(member => this.#createView(member));
		this.#announcer = Announcer.create(settings.instance, table, logger);
		this.#guard = this.#createGuard();
		this.#sync = this.#createSync();
		this.#entry = EntryServer.create(this.#createEntryContext());
		this.#linkServer = this.#createLinkServer();
		this.#configFollower = this.#createConfigFollower();
		this.#memberFollower = this.#createMemberFollower();
	}

	/** Listens and follows the store; callers are served as soon as a configuration is known. */
	async start(): Promise<void> {
		const {callerAddress, linkAddress, readyAddress, controlAddress, metricsAddress} =
			this.settings;
		this.#configFollower.start();
		this.#memberFollower.start();
		await Promise.all([
			this.#linkServer.listen(linkAddress),
			this.#entry.listen(callerAddress),
			listenForRequests(controlAddress, this.#createControlHandler()),
			listenForRequests(
				readyAddress,
				createReadyHandler(() => this.#isReady()),
			),
			listenForRequests(metricsAddress, this.#createMetricsHandler()),
		]);
		this.#sync.start();
		setInterval(() => {
			this.#review();
		}, reviewMs).unref();
		this.logger.info(
			{instance: this.settings.instance, incarnation: this.#incarnation},
			'sidecar listens',
		);
	}

	/** Takes over settings that have changed. */
	reload(settings: SidecarSettings): void {
		this.settings = settings;
		this.logger.info({service: settings.service}, 'settings were read anew');
	}

	/** Ends what is under way, serves those who still come for a while, and resolves. */
	async stop(): Promise<void> {
		if (this.#isStopping) {
			return;
		}

		this.#isStopping = true;
		const startedAtMs = performance.now();
		this.logger.info({active: this.#entry.active}, 'sidecar stops');
		this.#announce();
		this.#lastActiveMs = startedAtMs;
		const serveUntilMs = startedAtMs + this.settings.graceMs * serveOnShare;
		for (;;) {
			await new Promise(resolve => {
				setTimeout(resolve, stopCheckMs);
			});
			const nowMs = performance.now();
			const active = this.#entry.active + this.#guard.countActive();
			if (active > 0) {
				this.#lastActiveMs = nowMs;
			}

			const isQuiet = nowMs - this.#lastActiveMs > quietMs;
			if (isQuiet || nowMs > serveUntilMs) {
				break;
			}
		}

		this.#guard.isStopping = true;
		this.#entry.closeIdle();
		this.logger.info({active: this.#entry.active}, 'sidecar has stopped');
	}

	#isReady(): boolean {
		return this.#routes !== undefined && !this.#isStopping;
	}

	#createView(member: Member): MemberView {
		if (member.instance === this.settings.instance) {
			return MemberView.create(
				member,
				{kind: 'local', readLoad: () => this.#guard.readLoad()},
				distances.dataCentre,
			);
		}

		const pool = this.#findLinkPool(member);
		return MemberView.create(member, {kind: 'link', pool}, this.#computeDistance(member));
	}

	#findLinkPool(member: Member): LinkPool {
		const key = `${member.link.host}:${member.link.port}`;
		let pool = this.#links.get(key);
		if (pool === undefined) {
			pool = LinkPool.create(member.link);
			this.#links.set(key, pool);
		}

		return pool;
	}

	#computeDistance(member: Member): Distance {
		if (member.dataCentre === this.settings.dataCentre) {
			return distances.dataCentre;
		}

		return member.region === this.settings.region ? distances.region : distances.far;
	}

	#createGuard(): Guard {
		return Guard.create({
			server: this.#server,
			pool: this.#pool,
			codec: this.surroundings.codec,
			incarnation: this.#incarnation,
			readMember: () => this.#announcer.current,
			events: {
				handleUnreachable: () => {
					this.#server.setUnreachable();
					this.#review();
				},
				handleArrival: (head, use) => {
					this.#mix.record(head.route, head.callerService);
					this.#openShare.recordUse(use, performance.now());
				},
				handleStart: head => {
					this.#model.recordBegun(head.route, performance.now());
				},
				handleOutcome: (call, outcome) => {
					this.#handleOutcome(call.head.route, outcome);
				},
			},
		});
	}

	#handleOutcome(route: string, outcome: CallOutcome): void {
		if (outcome.kind !== 'answered') {
			return;
		}

		this.#refusals.record(outcome.head.isNotRun, performance.now());
		if (!outcome.head.isNotRun) {
			this.#costs.recordOwn(route, outcome.ranMs);
			const service = this.#server.state?.service;
			// Requests that stay on this instance bring no replies of other guards.
			if (service !== undefined && this.#outcomes++ % costsEvery === 0) {
				this.#costs.learn(route, service, this.#computeCosts(route)!);
				this.#learnOwnMix(route, service);
			}
		}
	}

	#learnOwnMix(route: string, service: string): void {
		const isInner = this.#mix.isInner(route, service, this.#directory.listServices());
		if (isInner !== undefined) {
			this.#model.setInner(route, isInner);
		}
	}

	#createSync(): PeerSync {
		return PeerSync.create({
			directory: this.#directory,
			logger: this.logger,
			readConfig: () => this.#routes?.config,
			isStoreLost: () => this.#configFollower.isLost || this.#memberFollower.isLost,
			handleConfig: (source, from) => {
				this.#handleConfig(source, from);
			},
			handleMember: member => {
				this.#handleMember(member);
			},
		});
	}

	#createEntryContext(): EntryContext {
		const {settings} = this;
		const bound = {
			ratio: settings.retryRatio,
			windowMs: settings.retryWindowMs,
			slack: settings.retrySlack,
		};
		return {
			codec: this.surroundings.codec,
			directory: this.#directory,
			guard: this.#guard,
			budget: RetryBudget.create(bound, () => this.#directory.size),
			admission: Admission.create({
				model: this.#model,
				costs: this.#costs,
				board: this.#board,
				random: () => Math.random(),
			}),
			model: this.#model,
			costs: this.#costs,
			log: this.#log,
			readRoutes: () => this.#routes,
			readCallerService: () => this.#server.state?.service ?? this.settings.service,
			isStopping: () => this.#isStopping,
			handleNews: (from, route, news) => {
				this.#handleNews(from, route, news);
			},
			handleMember: member => {
				this.#handleMember(member);
			},
			createNonce: () => `${this.#incarnation}.${this.#sentNonces++}`,
			random: () => Math.random(),
		};
	}

	#createLinkServer(): LinkServer {
		return LinkServer.create({
			guard: this.#guard,
			incarnation: this.#incarnation,
			readNews: (route, callerService) => this.#readNews(route, callerService),
			answerSync: question => this.#sync.answer(question),
			handleBadFrame: reason => {
				this.logger.warn({reason}, 'frame of a peer not understood');
			},
		});
	}

	#createConfigFollower(): TableFollower {
		const handle = (rows: readonly Row[]) => {
			for (const row of rows) {
				if (row.key === this.surroundings.configKey && row.value !== undefined) {
					this.#handleConfig(row.value, 'store');
				}
			}
		};

		return TableFollower.create({
			table: this.surroundings.table,
			name: 'operator',
			waitMs: configWaitMs,
			pauseMs: configPauseMs,
			logger: this.logger,
			handleAll: handle,
			handleChanges: handle,
		});
	}

	#createMemberFollower(): TableFollower {
		return TableFollower.create({
			table: this.surroundings.table,
			name: 'members',
			waitMs: memberWaitMs,
			pauseMs: memberPauseMs,
			logger: this.logger,
			handleAll: rows => {
				this.#announcer.recordRow(rows.find(row => row.key === this.settings.instance));
				this.#handleMemberRows(rows);
			},
			handleChanges: rows => {
				for (const row of rows) {
					if (row.key === this.settings.instance) {
						this.#announcer.recordRow(row);
					}
				}

				this.#handleMemberRows(rows);
			},
		});
	}

	#handleMemberRows(rows: readonly Row[]): void {
		for (const row of rows) {
			if (row.value === undefined) {
				this.#directory.remove(row.key);
				continue;
			}

			const member = decodeMember(row.value);
			if (member === undefined) {
				this.logger.warn({key: row.key}, 'row of the members is no announcement');
			} else {
				this.#handleMember(member);
			}
		}
	}

	#handleMember(member: Member): void {
		// Of the own server the sidecar knows more than any announcement says.
		if (member.instance !== this.settings.instance && this.#directory.apply(member)) {
			const {instance, service, state, serverId, epoch} = member;
			this.logger.info({instance, service, state, serverId, epoch}, 'member has changed');
		}
	}

	#handleConfig(source: string, from: string): void {
		const decoded = this.surroundings.decodeConfig(source);
		if (decoded.isErr()) {
			this.logger.warn({from, reason: decoded.error.message}, 'configuration not understood');
			return;
		}

		const config = decoded.value;
		const version = this.#routes?.config.version ?? -1;
		if (config.version <= version) {
			return;
		}

		this.#routes = RouteTable.create(config);
		this.#entry.setLimits(config.limits);
		const routes = config.routes.length;
		this.logger.info(
			{from, version: config.version, before: version, routes},
			'configuration is in force',
		);
	}

	#handleNews(from: Member, route: string, news: ReplyNews): void {
		const nowMs = performance.now();
		for (const report of news.pressure) {
			if (report.instance !== this.settings.instance) {
				this.#board.record(report, nowMs);
			}
		}

		if (news.isInner !== undefined) {
			this.#model.setInner(route, news.isInner);
		}

		if (news.costs !== undefined) {
			this.#costs.learn(route, from.service, news.costs);
		}

		if (news.configVersion > (this.#routes?.config.version ?? -1)) {
			this.#sync.handleVersion(from.instance, news.configVersion);
		}
	}

	/** Collects what a reply to a request of a route tells besides. */
	#readNews(route: string, callerService: string): ReplyNews {
		const nowMs = performance.now();
		this.#recordOwnShare(nowMs);
		return {
			load: this.#guard.readLoad(),
			configVersion: this.#routes?.config.version ?? -1,
			pressure: this.#board.listNews(nowMs),
			costs: this.#replies++ % costsEvery === 0 ? this.#computeCosts(route) : undefined,
			isInner: this.#mix.isInner(route, callerService, this.#directory.listServices()),
		};
	}

	#recordOwnShare(nowMs: number): void {
		const {state} = this.#server;
		if (state !== undefined) {
			const {instance, region} = this.settings;
			const openShare = this.#openShare.read(nowMs);
			const repeatableShare = this.#refusals.computeShare(nowMs);
			const {service} = state;
			this.#board.record({instance, service, region, openShare, repeatableShare, ageMs: 0}, nowMs);
		}
	}

	#computeCosts(route: string): CostVector | undefined {
		const {state} = this.#server;
		return state && this.#costs.compute(route, state.service, this.#model.listCalls(route));
	}

	#createControlHandler() {
		return createControlHandler({
			logger: this.logger,
			decodeMessage: (url, body) => this.surroundings.decodeServerMessage(url, body),
			handleMessage: message => {
				if (!this.#server.apply(message, performance.now())) {
					this.logger.warn({kind: message.kind}, 'outdated message of the server ignored');
				}

				this.#review();
			},
		});
	}

	#createMetricsHandler() {
		return createMetricsHandler({
			log: this.#log,
			readLoad: () => this.#guard.readLoad(),
			readConfigVersion: () => this.#routes?.config.version ?? -1,
			countMembers: () => this.#directory.size,
			countServerConnections: () => this.#pool.opened,
		});
	}

	/** Announces the own server when its state is another than announced. */
	#review(): void {
		const {state} = this.#server;
		if (state === undefined) {
			return;
		}

		const current = `${state.id} ${state.service} ${state.slots} ${this.#readState()}`;
		if (current !== this.#announced) {
			this.#announced = current;
			this.#announce();
		}
	}

	#readState(): MemberState {
		return this.#isStopping ? 'leaving' : this.#server.readState(performance.now());
	}

	#announce(): void {
		const {state} = this.#server;
		if (state === undefined) {
			return;
		}

		const known = this.#announcer.current;
		if (known !== undefined && known.serverId !== state.id) {
			this.#pool.closeIdle();
			this.#guard.refuseWaiting('wrongServer');
		}

		const member = this.#announcer.announce({
			instance: this.settings.instance,
			link: this.settings.linkAddress,
			dataCentre: this.settings.dataCentre,
			region: this.settings.region,
			service: state.service,
			serverId: state.id,
			slots: state.slots,
			state: this.#readState(),
		});
		this.#directory.apply(member);
		this.logger.info(
			{
				service: member.service,
				serverId: member.serverId,
				state: member.state,
				slots: member.slots,
			},
			'server is announced',
		);
	}
}
