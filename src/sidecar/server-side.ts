/** The backend server beside the sidecar: what it reports, what reaches it, and what peers hear of it. */
import {type Logger} from '../reporting/logger.ts';
import {Guard} from './guard/guard.ts';
import {type CallOutcome, type GuardedCall} from './guard/guarded-call.ts';
import {probeHealth} from './guard/health-probe.ts';
import {LocalServer} from './guard/local-server.ts';
import {ServerPool} from './guard/server-pool.ts';
import {Announcer} from './knowledge/announcer.ts';
import {type Directory} from './knowledge/directory.ts';
import {type NewsDesk} from './news-desk.ts';
import {type Row, type SharedTable} from './ports.ts';
import {type RequestLog} from './reporting/request-log.ts';
import {decodeMember} from './knowledge/member-codec.ts';
import {
	type HeadCodec,
	type Member,
	type MemberState,
	type MeshConfig,
	type ServerMessage,
	type SidecarSettings,
} from './types.ts';

/** How often the server's state is compared with what is announced. */
const reviewMs = 250;

export type ServerSideOptions = {
	readonly settings: SidecarSettings;
	readonly codec: HeadCodec;
	readonly table: SharedTable;
	readonly logger: Logger;
	readonly incarnation: string;
	readonly directory: Directory;
	readonly log: RequestLog;
	readNewsDesk(): NewsDesk;
	readConfig(): MeshConfig | undefined;
	/** The own announcement has changed. */
	handleAnnounced(): void;
};

export class ServerSide {
	/**
	 * @example
	 * const serverSide = ServerSide.create(options);
	 * serverSide.handleMessage(message);
	 */
	static create(options: ServerSideOptions): ServerSide {
		return new ServerSide(options);
	}

	readonly guard: Guard;
	readonly pool: ServerPool;
	readonly #server: LocalServer;
	readonly #announcer: Announcer;
	#timer: NodeJS.Timeout | undefined;
	#announced = '';
	#isStopping = false;
	#hasProbed = false;

	private constructor(private readonly options: ServerSideOptions) {
		const {settings, codec, table, logger} = options;
		this.#server = LocalServer.create(settings.drainMs);
		this.pool = ServerPool.create(settings.serverAddress, codec);
		this.#announcer = Announcer.create(settings.instance, table, logger, () => {
			options.handleAnnounced();
		});
		this.guard = this.#createGuard();
	}

	/** The own announcement; undefined until the server has reported. */
	get member(): Member | undefined {
		return this.#announcer.current;
	}

	/** Whether the last announcement did not reach the shared table. */
	get isAnnouncementLost(): boolean {
		return this.#announcer.isFailing;
	}

	/** Service of the server; undefined until it has reported. */
	get service(): string | undefined {
		return this.#server.state?.service;
	}

	start(): void {
		this.#timer = setInterval(() => {
			this.#review();
		}, reviewMs);
		this.#timer.unref();
	}

	close(): void {
		clearInterval(this.#timer);
		this.#announcer.close();
		this.pool.closeIdle();
	}

	/** Takes a report or a leave message of the server; returning acknowledges it. */
	handleMessage(message: ServerMessage): void {
		if (!this.#server.apply(message, performance.now())) {
			this.options.logger.warn({kind: message.kind}, 'outdated message of the server ignored');
		}

		this.#review();
	}

	/** Takes the own row as the shared table has it; undefined when there is none. */
	handleOwnRow(row: Row | undefined): void {
		this.#announcer.recordRow(row);
		const member = row?.value === undefined ? undefined : decodeMember(row.value);
		if (member?.state === 'ready') {
			void this.#probe(member);
		}
	}

	/** Takes what a peer believes of this instance; an earlier life may have announced a later epoch. */
	handleOwnMember(member: Member): void {
		const {current} = this.#announcer;
		if (current !== undefined && member.epoch > current.epoch) {
			this.#announcer.raise(member.epoch);
			this.options.directory.apply(this.#announcer.current!);
		}
	}

	/** Tells peers that nothing new should come. */
	setStopping(): void {
		this.#isStopping = true;
		this.#review();
	}

	#createGuard(): Guard {
		return Guard.create({
			server: this.#server,
			pool: this.pool,
			codec: this.options.codec,
			incarnation: this.options.incarnation,
			readMember: () => this.#announcer.current,
			events: {
				handleArrival: (head, use) => {
					this.options.readNewsDesk().recordArrival(head.route, head.callerService, use);
				},
				handleStart: head => {
					this.options.readNewsDesk().recordStart(head.route);
				},
				handleUnreachable: () => {
					this.#server.setUnreachable();
					this.#review();
				},
				handleOutcome: (call, outcome) => {
					this.#handleOutcome(call.head.route, outcome);
					this.#logOutcome(call, outcome);
				},
			},
		});
	}

	#handleOutcome(route: string, outcome: CallOutcome): void {
		if (outcome.kind !== 'answered') {
			return;
		}

		const {head, ranMs} = outcome;
		this.options.readNewsDesk().recordAnswer(route, head.isNotRun, ranMs);
		if (head.isMisdirected) {
			// Another server has the address; the next report tells which.
			this.#server.setUnreachable();
			this.#review();
		}
	}

	#logOutcome(call: GuardedCall, outcome: CallOutcome): void {
		if (outcome.kind !== 'refused' && outcome.kind !== 'failed') {
			return;
		}

		const {requestId, route, callerService, remainingMs} = call.head;
		this.options.log.recordGuarded({
			requestId,
			route,
			callerService,
			reason: outcome.reason,
			mayHaveRun: outcome.kind === 'failed' && outcome.hasSent,
			afterMs: Math.round(performance.now() - call.arrivedAtMs),
			remainingMs: Math.round(remainingMs),
			...this.guard.readLoad(),
		});
	}

	/**
	 * Asks the server who it is after a restart of the sidecar alone, so that work can come before the
	 * next report. A leaving server is not healthy, and a refused probe leaves it to the report.
	 */
	async #probe(member: Member): Promise<void> {
		const {settings, codec, logger} = this.options;
		const path = this.options.readConfig()?.services.get(member.service)?.healthPath;
		if (this.#hasProbed || this.#server.state !== undefined || path === undefined) {
			return;
		}

		this.#hasProbed = true;
		const result = await probeHealth(settings.serverAddress, path, codec.serverIdHeader);
		const isSame = result.kind === 'healthy' && result.serverId === member.serverId;
		if (isSame && this.#server.state === undefined) {
			const {serverId: id, service, slots} = member;
			this.#server.adopt({id, service, slots}, performance.now());
			logger.info({serverId: id, service}, 'server was found in place');
			this.#review();
		}
	}

	/** Announces the server when its state is another than announced. */
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
			this.pool.closeIdle();
			this.guard.refuseWaiting('wrongServer');
		}

		const {instance, linkAddress: link, dataCentre, region} = this.options.settings;
		const {id: serverId, service, slots} = state;
		const member = this.#announcer.announce({
			instance,
			link,
			dataCentre,
			region,
			service,
			serverId,
			slots,
			state: this.#readState(),
		});
		this.options.directory.apply(member);
		this.options.handleAnnounced();
		const fields = {service, serverId, state: member.state, slots, epoch: member.epoch};
		this.options.logger.info(fields, 'server is announced');
	}
}
