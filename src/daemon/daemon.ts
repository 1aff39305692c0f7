/**
 * Creates the tasks of a daemon, connects them, and starts and stops them in order.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as wait} from 'node:timers/promises';
import {createAdmissionController} from '../admission/create-admission-controller.ts';
import {
	createResilientPlatformClients,
	type ResilientPlatformClients,
} from '../store/platform-clients.ts';
import {builtInVersion} from '../policy/built-in.ts';
import {type Logger} from '../reporting/logger.ts';
import {Metrics} from '../reporting/metrics.ts';
import {addPlatformMetrics, type PlatformSource} from '../reporting/platform-metrics.ts';
import {ServiceRouter} from '../routing/service-router.ts';
import {type DaemonSettings} from '../settings/daemon-settings.ts';
import {convertPlatformSection} from '../settings/platform-settings.ts';
import {AdminTask} from './admin/admin-task.ts';
import {ControlTask} from './control/control-task.ts';
import {EntryTask} from './entry/entry-task.ts';
import {GuardTask} from './guard/guard-task.ts';
import {type ListenerOptions} from './http/listener.ts';
import {createIdentity, type Identity} from './identity.ts';
import {type TaskMessage} from './messages.ts';
import {RecordTask} from './record-task.ts';
import {EntryOnceCalls} from './once/entry-once-calls.ts';

/**
 * Time for which calls are still accepted after the daemon has announced that it leaves, since peers send
 * calls until the announcement reaches them.
 */
const leaveGraceMs = 1000;
const inFlightPollMs = 20;
const peerKeepAliveMs = 60_000;
const callerKeepAliveMs = 15_000;

export type DaemonPorts = {
	readonly caller: number;
	readonly local: number;
	readonly peer: number;
	readonly admin: number;
};

/** The daemon that runs beside one backend server. */
export class Daemon {
	/**
	 * @example
	 * const daemon = Daemon.create(settings, logger);
	 * await daemon.start();
	 */
	static create(settings: DaemonSettings, logger: Logger): Daemon {
		return new Daemon(settings, logger);
	}

	readonly #settings: DaemonSettings;
	readonly #logger: Logger;
	readonly #identity: Identity;
	readonly #platformClients: ResilientPlatformClients;
	readonly #guard: GuardTask;
	readonly #entry: EntryTask;
	readonly #admin: AdminTask;
	readonly #record: RecordTask;
	#control: ControlTask | undefined;
	#onceCalls: EntryOnceCalls | undefined;
	#isReady = false;
	#stopPromise: Promise<void> | undefined;
	#onStopped: (() => void) | undefined;

	private constructor(settings: DaemonSettings, logger: Logger) {
		this.#settings = settings;
		this.#logger = logger;
		this.#identity = createIdentity(settings);
		this.#platformClients = createResilientPlatformClients(
			convertPlatformSection(settings.platform),
		);
		const identity = this.#identity;
		const metrics = Metrics.create({server: identity.server, data_centre: identity.dataCentre});
		addPlatformMetrics(metrics.registry, listPlatformSources(this.#platformClients));
		const peerKey = settings.keys.peer;
		const clock = {readNowMs: () => performance.now()};
		this.#guard = GuardTask.create(
			{
				identity,
				backendPort: settings.backend.port,
				peerKey,
				logger,
				metrics,
				createAdmissionController: policy => createAdmissionController(policy, clock),
			},
			builtInVersion.document,
		);
		const router = ServiceRouter.create({
			dataCentre: identity.dataCentre,
			region: identity.region,
			random: Math.random,
		});
		this.#record = RecordTask.create(
			{identity, objects: this.#platformClients.objects, logger},
			builtInVersion,
		);
		this.#entry = EntryTask.create(
			{
				identity,
				peerKey,
				logger,
				metrics,
				router,
				running: this.#guard.running,
				countCallForPolicyVersion: version => {
					this.#record.countCall(version);
				},
			},
			builtInVersion,
		);
		this.#admin = AdminTask.create({
			adminKey: settings.keys.admin,
			metrics,
			dependencies: {
				identity,
				readPolicy: () => this.#control?.policy ?? builtInVersion,
				readMembers: () => this.#control?.members ?? [],
				readReport: () => this.#guard.readReport(),
				isReady: () => this.#isReady && this.#stopPromise === undefined,
				drain: () => {
					void this.stop();
				},
			},
		});
	}

	/** Opens all ports, joins the other daemons and loads the policy in force. */
	async start(): Promise<DaemonPorts> {
		const {listeners} = this.#settings;
		await this.#guard.open(this.#createListenerOptions('peer', listeners.peer_port));
		this.#enableOnceCalls();
		await this.#entry.open(
			this.#createListenerOptions('caller', listeners.caller_port),
			this.#createListenerOptions('local', listeners.local_port),
		);
		await this.#admin.open(this.#createListenerOptions('admin', listeners.admin_port));
		this.#control = ControlTask.create({
			identity: this.#identity,
			peerPort: this.#guard.port,
			peerKey: this.#settings.keys.peer,
			table: this.#platformClients.table,
			logger: this.#logger,
			readGuardState: () => this.#guard.state,
			send: message => {
				this.#broadcast(message);
			},
			onSuperseded: () => {
				void this.stop();
			},
		});
		this.#guard.setControlHandler(this.#control.handleRequest);
		await this.#control.start();
		this.#record.start();
		this.#isReady = true;
		const ports = this.#readPorts();
		this.#logger.info({server: this.#identity.server, ...ports}, 'daemon is ready');
		return ports;
	}

	/** Sets the function that is called once the daemon has stopped. */
	onStopped(listener: () => void): void {
		this.#onStopped = listener;
	}

	/**
	 * Shuts down gracefully: announces that the daemon leaves, refuses new calls after a grace period, waits
	 * for the calls in flight, then closes all ports.
	 */
	async stop(): Promise<void> {
		this.#stopPromise ??= this.#shutDown();
		return this.#stopPromise;
	}

	async #shutDown(): Promise<void> {
		this.#logger.info({server: this.#identity.server}, 'daemon is leaving');
		this.#broadcast({kind: 'leave'});
		this.#control?.leave();
		await wait(leaveGraceMs);
		this.#broadcast({kind: 'refuse'});
		while (this.#guard.inFlight + this.#entry.inFlight > 0) {
			await wait(inFlightPollMs);
		}

		await this.#onceCalls?.waitForSettlements();
		await this.#control?.stop();
		await Promise.all([
			this.#entry.closeCallerListener(),
			this.#guard.close(),
			this.#entry.close(),
		]);
		this.#admin.close();
		await this.#record.stop();
		await this.#platformClients.close();
		this.#logger.info({server: this.#identity.server}, 'daemon has stopped');
		this.#onStopped?.();
	}

	/** Enables once calls. Claims contain the peer port, so the guard's listener must be open. */
	#enableOnceCalls(): void {
		const {address, instanceId} = this.#identity;
		const onceCalls = EntryOnceCalls.create({
			self: {instanceId, address, peerPort: this.#guard.port},
			table: this.#platformClients.table,
			objects: this.#platformClients.objects,
			pools: this.#entry.pools,
			peerKey: this.#settings.keys.peer,
			limits: builtInVersion.document.once,
		});
		this.#onceCalls = onceCalls;
		this.#entry.enableOnceCalls(onceCalls);
		this.#guard.setKillHandler(killRequest => {
			if (killRequest.instanceId !== instanceId) {
				return 'unreachable';
			}

			return killRequest.role === 'holder'
				? onceCalls.executor.killNonce(killRequest.nonce)
				: this.#guard.onceCalls.killNonce(killRequest.nonce);
		});
	}

	#broadcast(message: TaskMessage): void {
		this.#guard.receive(message);
		this.#entry.receive(message);
		this.#record.receive(message);
	}

	#readPorts(): DaemonPorts {
		return {
			caller: this.#entry.callerPort,
			local: this.#entry.localPort,
			peer: this.#guard.port,
			admin: this.#admin.port,
		};
	}

	#createListenerOptions(listenerName: string, port: number): ListenerOptions {
		const {limits, daemon} = this.#settings;
		const isLocal = listenerName === 'local';
		return {
			listenerName,
			address: isLocal ? '127.0.0.1' : daemon.address,
			port,
			headerTimeoutMs: limits.header_timeout_ms,
			requestTimeoutMs: limits.header_timeout_ms + limits.body_timeout_ms,
			maxHeaderBytes: limits.max_header_bytes,
			maxConnections: limits.max_connections,
			keepAliveMs: listenerName === 'peer' || isLocal ? peerKeepAliveMs : callerKeepAliveMs,
		};
	}
}

function listPlatformSources(platformClients: ResilientPlatformClients): PlatformSource[] {
	const sources: PlatformSource[] = [];
	for (const service of ['table', 'objects'] as const) {
		const {executor} = platformClients[service];
		sources.push({
			service,
			readUsage: () => executor.readUsage(),
			readCircuitState: () => executor.readCircuitState(),
		});
	}

	return sources;
}
