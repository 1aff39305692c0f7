/** Manages the local server, the one beside the sidecar: its reports, its guard and its announcements. */
import {type Logger} from '../reporting/logger.ts';
import {Guard} from './guard/guard.ts';
import {type CallOutcome} from './guard/call-owner.ts';
import {probeHealth} from './guard/health-probe.ts';
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
import {logIdentity} from './reporting/log-identity.ts';
import {recordOutcome} from './reporting/outcome-log.ts';
import {type MessageLog} from './reporting/message-log.ts';
import {type RequestLog} from './reporting/request-log.ts';
import {type RunQueue} from './scheduling/run-queue.ts';
import {decodeMember} from './discovery/member-codec.ts';
import {createLocalMember} from './local-member.ts';
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
	#timer: NodeJS.Timeout | undefined;
	#announcedKey = '';
	#isStopping = false;
	#hasProbed = false;
	/** What an earlier process of this sidecar announced last, as read from the shared table. */
	#formerMember: Member | undefined;
	private constructor(private readonly options: LocalServerManagerOptions) {
		const {settings, codec, table, logger} = options;
		this.#server = LocalServer.create(settings.drainMs);
		this.pool = ServerPool.create(settings.serverAddress, codec);
		this.#announcer = Announcer.create(settings.instance, table, logger, () => {
			options.handleAnnounced();
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
			void this.#probeFormer();
		}, reconcileIntervalMs);
		this.#timer.unref();
	}

	close(): void {
		clearInterval(this.#timer);
		this.#announcer.close();
		this.pool.closeIdle();
	}

	/**
	 * Handles a report or a leave message of the server; the message is acknowledged once this returns.
	 *
	 * @param sender - address that the message came from
	 */
	handleMessage(message: ServerMessage, sender: string): void {
		const before = this.#server.state;
		if (!this.#server.apply(message, performance.now())) {
			const reason = `${message.kind} is older than what is known of the server`;
			this.options.messageLog.recordIgnored({source: 'control', cause: 'outdated', reason, sender});
		}

		logIdentity(this.options.logger, {before, after: this.#server.state, sender});
		this.#reconcile();
	}

	/** Handles the row of this instance as read from the shared table; undefined when there is none. */
	handleOwnRow(row: Row | undefined, position: StorePosition): void {
		this.#announcer.recordRow(row, position);
		const member = row?.value === undefined ? undefined : decodeMember(row.value);
		this.#formerMember ??= member;
		void this.#probeFormer();
		this.#restoreLeave(member);
	}

	/**
	 * Handles an announcement of this instance as known to a peer. An earlier process of this sidecar may
	 * have announced a later epoch.
	 */
	handleOwnMember(member: Member): void {
		const {current} = this.#announcer;
		if (current !== undefined && member.epoch > current.epoch) {
			this.#announcer.raiseEpoch(member.epoch);
			this.options.directory.apply(this.#announcer.current!);
		}

		this.#restoreLeave(member);
	}

	/** Announces to peers that this instance accepts no new requests. */
	setStopping(): void {
		this.#isStopping = true;
		this.#reconcile();
	}

	/** Restores a leave that an earlier process of this sidecar acknowledged. */
	#restoreLeave(member: Member | undefined): void {
		if (member?.leftStartMs !== undefined) {
			const start = {id: member.serverId, startedAtMs: member.leftStartMs};
			this.#server.restoreLeave(start, performance.now());
			this.#reconcile();
		}
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

	#handleOutcome({route, digest}: CallHead, outcome: CallOutcome): void {
		if (outcome.kind !== 'answered') {
			return;
		}

		const {head, ranMs} = outcome;
		if (!head.isMisdirected) {
			this.#server.recordAnswer(performance.now());
			if (!head.isNotRun) {
				this.options.quarantine.recordCompletion(digest);
			}
		}

		this.options.readMetadataExchange().recordAnswer(route, head.isNotRun, ranMs);
		if (head.isMisdirected) {
			// Another server now uses the address; its next report identifies it.
			this.#server.setUnreachable();
			this.#reconcile();
		}
	}

	/**
	 * Identifies the server with a health probe after a restart of the sidecar alone, so that requests can
	 * arrive before its next report. A leaving server is not healthy; after a refused probe, the next
	 * report identifies the server.
	 */
	async #probeFormer(): Promise<void> {
		const {settings, codec, logger} = this.options;
		const member = this.#formerMember;
		const wasInUse = member?.state === 'ready' || member?.isDraining === true;
		if (this.#hasProbed || this.#server.state !== undefined || !wasInUse) {
			return;
		}

		const path = this.options.readConfig()?.services.get(member.service)?.healthPath;
		if (path === undefined) {
			return;
		}

		this.#hasProbed = true;
		const result = await probeHealth(settings.serverAddress, path, codec.serverIdHeader);
		const {serverId: id, service, slots} = member;
		const isSameServer = result.kind === 'healthy' && result.serverId === id;
		if (isSameServer && this.#server.state === undefined) {
			this.#server.restore({id, service, slots}, performance.now());
			logger.info({serverId: id, service}, 'identified the local server by a health probe');
			this.#reconcile();
		}
	}

	/** Announces the server when its state differs from the announced one. */
	#reconcile(): void {
		const {state} = this.#server;
		if (state === undefined) {
			return;
		}

		const serverState = this.#server.readState(performance.now());
		const current = [state.id, state.service, state.slots, serverState, this.#isStopping].join(' ');
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
			createLocalMember(this.options.settings, state, {serverState, isStopping: this.#isStopping}),
		);
		this.options.directory.apply(member);
		this.options.handleAnnounced();
		const {service, serverId, slots, epoch} = member;
		const fields = {service, serverId, state: member.state, slots, epoch};
		this.options.logger.info(fields, 'announced the local server');
	}
}
