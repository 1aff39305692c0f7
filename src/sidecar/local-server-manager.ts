/** Manages the local server, the one beside the sidecar: its reports, its guard and its announcements. */
import {type Logger} from '../reporting/logger.ts';
import {Guard} from './guard/guard.ts';
import {type CallOutcome} from './guard/call-owner.ts';
import {LocalServer} from './guard/local-server.ts';
import {ServerPool} from './guard/server-pool.ts';
import {Announcer} from './discovery/announcer.ts';
import {type Directory} from './discovery/directory.ts';
import {type CallHead} from './link/messages.ts';
import {type MetadataExchange} from './metadata-exchange.ts';
import {type Row, type SharedTable, type StorePosition} from './shared-table.ts';
import {CrashDetector} from './quarantine/crash-detector.ts';
import {probeListening} from './quarantine/listening-probe.ts';
import {type Quarantine} from './quarantine/quarantine.ts';
import {recordOutcome} from './reporting/outcome-log.ts';
import {type MessageLog} from './reporting/message-log.ts';
import {type RequestLog} from './reporting/request-log.ts';
import {type RunQueue} from './scheduling/run-queue.ts';
import {decodeMember} from './discovery/member-codec.ts';
import {LeaveRestorer} from './leave-restorer.ts';
import {createLocalMember} from './local-member.ts';
import {ServerMessageHandler} from './server-message-handler.ts';
import {readSuspendedMs} from './suspension-clock.ts';
import {
	type HeadCodec,
	type Member,
	type MeshConfig,
	type ServerMessage,
	type SidecarSettings,
} from './types.ts';

/** How often the state of the local server is compared with the announced one. */
const reconcileIntervalMs = 250;

export type LocalServerManagerOptions = {
	readonly settings: SidecarSettings;
	readonly codec: HeadCodec;
	readonly table: SharedTable;
	readonly logger: Logger;
	readonly incarnation: string;
	readonly directory: Directory;
	readonly requestLog: RequestLog;
	readonly messageLog: MessageLog;
	readonly runQueue: RunQueue;
	readonly quarantine: Quarantine;
	/** Service of the server by the settings in force. */
	readService(): string;
	readMetadataExchange(): MetadataExchange;
	readConfig(): MeshConfig | undefined;
	/** Called when the announcement of this instance has changed or can't be written to the table. */
	handleAnnounced(): void;
};

export class LocalServerManager {
	/**
	 * @example
	 * const serverManager = LocalServerManager.create(options);
	 * serverManager.handleMessage(message);
	 */
	static create(options: LocalServerManagerOptions): LocalServerManager {
		return new LocalServerManager(options);
	}

	readonly guard: Guard;
	readonly pool: ServerPool;
	readonly #server: LocalServer;
	readonly #announcer: Announcer;
	readonly #crashDetector: CrashDetector;
	readonly #messages: ServerMessageHandler;
	readonly #leaves: LeaveRestorer;
	#timer: NodeJS.Timeout | undefined;
	#announcedKey = '';
	#isStopping = false;
	private constructor(private readonly options: LocalServerManagerOptions) {
		const {settings, codec, table, logger} = options;
		this.#server = LocalServer.create(settings.drainMs, {
			address: settings.serverAddress,
			dataCentre: settings.dataCentre,
			readService: () => options.readService(),
			isConfigured: service => this.#findHealthPath(service) !== undefined,
		});
		this.#messages = ServerMessageHandler.create({
			...options,
			server: this.#server,
			findHealthPath: service => this.#findHealthPath(service),
			handleChanged: () => {
				this.#reconcile();
			},
		});
		this.pool = ServerPool.create(settings.serverAddress, codec);
		this.#announcer = Announcer.create(settings.instance, table, logger, () => {
			options.handleAnnounced();
		});
		this.#leaves = LeaveRestorer.create({
			server: this.#server,
			announcer: this.#announcer,
			logger,
		});
		this.#crashDetector = CrashDetector.create({
			isListening: async () => probeListening(settings.serverAddress),
			listRunning: () => this.guard.calls.listRunning().map(({head}) => head.digest),
			readNow: () => performance.now(),
			countEnds: digest => options.quarantine.countEnds(digest),
			handleCrash: digests => {
				this.#handleCrash(digests);
			},
		});
		this.guard = this.#createGuard();
	}

	/** The announcement of this instance; undefined until the server has reported. */
	get member(): Member | undefined {
		return this.#announcer.current;
	}

	/** Whether the last write of the announcement failed because the shared table was unavailable. */
	get isAnnouncementFailing(): boolean {
		return this.#announcer.isFailing;
	}

	/** Service of the server; undefined until it has reported. */
	get service(): string | undefined {
		return this.#server.state?.service;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#reconcile();
			this.#messages.identifyFormer();
		}, reconcileIntervalMs);
		this.#timer.unref();
	}

	close(): void {
		clearInterval(this.#timer);
		this.#messages.close();
		this.#announcer.close();
		this.pool.closeIdle();
	}

	/**
	 * Handles a report or a leave message of the server; the message is acknowledged once this returns.
	 *
	 * @param sender - address that the message came from
	 * @returns false if the message contradicts what is known of the server
	 */
	handleMessage(message: ServerMessage, sender: string): boolean {
		return this.#messages.handle(message, sender);
	}

	/** Handles the row of this instance as read from the shared table; undefined when there is none. */
	handleOwnRow(row: Row | undefined, position: StorePosition): void {
		const member = row?.value === undefined ? undefined : decodeMember(row.value);
		this.#leaves.apply(member);
		this.#reconcile();
		this.#messages.setFormer(member);
		this.#announcer.recordRow(row, position);
	}

	/**
	 * Handles an announcement of this instance as known to a peer. An earlier process of this sidecar may
	 * have announced a later epoch.
	 */
	handleOwnMember(member: Member): void {
		this.#leaves.apply(member);
		this.#reconcile();
		const {current} = this.#announcer;
		if (current !== undefined && member.epoch > current.epoch) {
			this.#announcer.raiseEpoch(member.epoch);
			this.options.directory.apply(this.#announcer.current!);
		}
	}

	/** Announces to peers that this instance accepts no new requests. */
	setStopping(): void {
		this.#isStopping = true;
		this.#reconcile();
	}

	/** Handles the end of the server under the requests with these digests. */
	#handleCrash(digests: ReadonlySet<string>): void {
		const {requestLog, quarantine} = this.options;
		const {serverId = '', serverStartMs = 0} = this.member ?? {};
		requestLog.recordCrash(serverId, digests);
		quarantine.recordCrash(`${serverId}:${serverStartMs}`, digests);
		this.#server.setUnreachable();
		this.#reconcile();
	}

	#createGuard(): Guard {
		return Guard.create({
			server: this.#server,
			pool: this.pool,
			codec: this.options.codec,
			incarnation: this.options.incarnation,
			runQueue: this.options.runQueue,
			readSuspended: readSuspendedMs,
			readMember: () => this.#announcer.current,
			isQuarantined: digest => this.options.quarantine.has(digest),
			checkEnded: async digest => this.#crashDetector.check(digest),
			events: {
				handleArrival: ({route, callerService}, utilization) => {
					this.options.readMetadataExchange().recordArrival(route, callerService, utilization);
				},
				handleStart: head => {
					this.options.readMetadataExchange().recordStart(head.route);
				},
				handleUnreachable: () => {
					this.#server.setUnreachable();
					this.#reconcile();
				},
				handleOutcome: (call, outcome) => {
					this.#handleOutcome(call.head, outcome);
					recordOutcome(this.options.requestLog, call, outcome, this.guard.readLoad());
				},
			},
		});
	}

	#handleOutcome({route, digest, serverId}: CallHead, outcome: CallOutcome): void {
		if (outcome.kind !== 'answered') {
			return;
		}

		const {head, ranMs} = outcome;
		if (!head.isMisdirected) {
			this.#server.recordAnswer(serverId, performance.now());
			if (!head.isNotRun) {
				this.options.quarantine.recordCompletion(digest);
			}
		}

		this.options.readMetadataExchange().recordAnswer(route, head.isNotRun, ranMs);
		if (head.isMisdirected && serverId === this.#server.state?.id) {
			// Another server now uses the address; its next report identifies it.
			this.#server.setUnreachable();
			this.#reconcile();
		}
	}

	#findHealthPath(service: string): string | undefined {
		return this.options.readConfig()?.services.get(service)?.healthPath;
	}

	/** Announces the server when its state differs from the announced one. */
	#reconcile(): void {
		const {state} = this.#server;
		if (state === undefined) {
			return;
		}

		const serverState = this.#server.readState(performance.now());
		const current = [
			state.id,
			state.service,
			state.slots,
			serverState,
			this.#isStopping,
			this.#leaves.deniedStartMs,
		].join(' ');
		if (current !== this.#announcedKey) {
			this.#announcedKey = current;
			this.#announce();
		}
	}

	#announce(): void {
		const {state} = this.#server;
		if (state === undefined) {
			return;
		}

		const previous = this.#announcer.current;
		if (previous !== undefined && previous.serverId !== state.id) {
			this.pool.closeIdle();
			this.guard.refuseWaiting('wrongServer');
		}

		const serverState = this.#server.readState(performance.now());
		const member = this.#announcer.announce(
			createLocalMember(this.options.settings, state, {
				serverState,
				isStopping: this.#isStopping,
				deniedLeaveStartMs: this.#leaves.deniedStartMs,
			}),
		);
		this.options.directory.apply(member);
		this.options.handleAnnounced();
		const {service, serverId, slots, epoch} = member;
		const fields = {service, serverId, state: member.state, slots, epoch};
		this.options.logger.info(fields, 'announced the local server');
	}
}
