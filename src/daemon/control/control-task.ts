/**
 * The control task: keeps the list of members through gossip and the policy in force through policy sync.
 */
import {type GuardState} from '../../call/types.ts';
import {isAmongLowestRanked} from '../../membership/rank.ts';
import {gossipPeriodMs} from '../../membership/settings.ts';
import {type Member} from '../../membership/types.ts';
import {type Table} from '../../store/types.ts';
import {policySyncLimits} from '../../policy/policy-sync.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {type Logger} from '../../reporting/logger.ts';
import {readMonotonicMs} from '../clock.ts';
import {type Identity} from '../identity.ts';
import {type ControlMessage} from '../messages.ts';
import {ControlClient} from './control-client.ts';
import {createControlHandler, type ControlRequestHandler} from './control-server.ts';
import {GossipTask, type GossipNotification} from './gossip-task.ts';
import {SeedRows} from './seed-rows.ts';
import {PolicySyncTask, type PolicySyncNotification} from './policy-sync-task.ts';

export type ControlOptions = {
	readonly identity: Identity;
	readonly peerPort: number;
	readonly peerKey: string;
	readonly table: Table;
	readonly logger: Logger;
	readonly readGuardState: () => GuardState;
	readonly send: (message: ControlMessage) => void;
	/** Called when an instance that started later uses this server's name. */
	readonly onSuperseded: () => void;
};

type AnnouncedState = 'cold' | 'serving' | 'leaving';

const seedWriteIntervalMs = 120_000;
/** The interval between reads of the seed rows doubles from the minimum to the maximum. */
const minSeedReadIntervalMs = 1000;
const maxSeedReadIntervalMs = 300_000;
/** Maximum wait for the peers' responses to the message that announces the stop. */
const finalGossipTimeoutMs = 300;

/** Exchanges members and policy versions with other daemons. */
export class ControlTask {
	/**
	 * @example
	 * const control = ControlTask.create(options);
	 * await control.start();
	 */
	static create(options: ControlOptions): ControlTask {
		return new ControlTask(options);
	}

	/** Serves the control procedures on the peer port. */
	readonly handleRequest: ControlRequestHandler;
	readonly #client: ControlClient;
	readonly #gossip: GossipTask;
	readonly #policySync: PolicySyncTask;
	readonly #seeds: SeedRows;
	#timer: NodeJS.Timeout | undefined;
	#isLeaving = false;
	#announcedState: AnnouncedState = 'cold';
	#isReady = false;
	#nextSeedWriteAtMs = 0;
	#nextSeedReadAtMs = 0;
	#seedReadIntervalMs = minSeedReadIntervalMs;
	#onReady: (() => void) | undefined;

	private constructor(private readonly options: ControlOptions) {
		const {identity, peerPort, table, logger} = options;
		this.#client = ControlClient.create(options.peerKey);
		this.#seeds = SeedRows.create(
			table,
			() => Date.now(),
			sort => {
				logger.warn({row: sort}, 'seed row holds no endpoint; left out');
			},
		);
		this.#policySync = PolicySyncTask.create({
			table,
			logger,
			client: this.#client,
			handleNotification: notification => {
				this.#handlePolicySyncNotification(notification);
			},
		});
		const {version, digest} = this.#policySync.inForce;
		this.#gossip = GossipTask.create({
			self: {...identity, peerPort, incarnation: 0, state: 'cold', policyVersion: version},
			policy: {version, digest},
			client: this.#client,
			handleNotification: notification => {
				this.#handleGossipNotification(notification);
			},
		});
		this.handleRequest = createControlHandler({
			exchange: async request => this.#gossip.handleRequest(request),
			readPolicy: () => this.#policySync.readPackedPolicy(),
		});
	}

	get policy(): PolicyVersion {
		return this.#policySync.inForce;
	}

	/** Members that may receive calls, according to this daemon's view. */
	get members(): readonly Member[] {
		return this.#gossip.gossip.listUsableMembers();
	}

	/** Resolves once the highest policy version that the table or a peer could provide is in force. */
	async start(): Promise<void> {
		const ready = new Promise<void>(resolve => {
			this.#onReady = resolve;
		});
		await this.#readSeeds();
		this.#tick();
		this.#timer = setInterval(() => {
			this.#tick();
		}, gossipPeriodMs);
		this.#timer.unref();
		await ready;
		this.#sendMembers();
	}

	/** Announces immediately that this daemon accepts no new calls. */
	leave(): void {
		this.#isLeaving = true;
		this.#announceState();
	}

	/** Announces to peers that the daemon has stopped, then ends the gossip and its connections. */
	async stop(): Promise<void> {
		clearInterval(this.#timer);
		this.#gossip.handle({kind: 'announce', state: 'dead'});
		const deadlineAtMs = readMonotonicMs() + finalGossipTimeoutMs;
		while (this.#gossip.inFlight > 0 && readMonotonicMs() < deadlineAtMs) {
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		}

		this.#gossip.stop();
		await this.#client.close();
	}

	#tick(): void {
		this.#announceState();
		this.#gossip.handle({kind: 'tick'});
		const {gossip} = this.#gossip;
		const {pollersPerDataCentre} = policySyncLimits;
		const isPoller = isAmongLowestRanked(gossip.self, gossip.listMembers(), pollersPerDataCentre);
		this.#policySync.handle({kind: 'tick', isPoller});
		void this.#refreshSeeds(isPoller);
	}

	/** Announces the state of this daemon if it has changed. */
	#announceState(): void {
		const state = this.#computeState();
		if (this.#isReady && state !== this.#announcedState) {
			this.#announcedState = state;
			this.#gossip.handle({kind: 'announce', state});
		}
	}

	/**
	 * Writes this daemon's seed row if it is a poller, and reads the seed rows when they are due. A daemon
	 * that knows no other member reads them at every tick, and is a poller itself.
	 */
	async #refreshSeeds(isPoller: boolean): Promise<void> {
		const nowMs = readMonotonicMs();
		const isAlone = this.#gossip.gossip.listMembers().length === 1;
		if (isPoller && !this.#isLeaving && nowMs >= this.#nextSeedWriteAtMs) {
			this.#nextSeedWriteAtMs = nowMs + seedWriteIntervalMs;
			const written = await this.#seeds.write(this.#gossip.gossip.self);
			if (written.isErr()) {
				this.#nextSeedWriteAtMs = 0;
				this.options.logger.warn({error: written.error.message}, 'could not write the seed row');
			}
		}

		if (isAlone || nowMs >= this.#nextSeedReadAtMs) {
			await this.#readSeeds();
		}
	}

	async #readSeeds(): Promise<void> {
		this.#nextSeedReadAtMs = readMonotonicMs() + this.#seedReadIntervalMs * (0.5 + Math.random());
		this.#seedReadIntervalMs = Math.min(maxSeedReadIntervalMs, 2 * this.#seedReadIntervalMs);
		const endpoints = await this.#seeds.list();
		if (endpoints.isErr()) {
			this.options.logger.warn({error: endpoints.error.message}, 'could not read the seed rows');
			return;
		}

		const {address, peerPort} = this.#gossip.gossip.self;
		const others = endpoints.value.filter(
			endpoint => endpoint.address !== address || endpoint.peerPort !== peerPort,
		);
		this.#gossip.handle({kind: 'seeds', endpoints: others});
	}

	#handleGossipNotification(notification: GossipNotification): void {
		switch (notification.kind) {
			case 'membersChanged': {
				this.#sendMembers();
				break;
			}

			case 'policyHeard': {
				const {address, peerPort} = notification.from;
				const source = {kind: 'peer', address, peerPort} as const;
				this.#policySync.handle({kind: 'heard', head: notification.policy, source});
				break;
			}

			case 'surveyed': {
				this.#policySync.handle({kind: 'peersAsked'});
				break;
			}

			case 'superseded': {
				this.options.logger.error(
					{by: notification.by.instanceId},
					'another instance uses this server name; stopping',
				);
				this.options.onSuperseded();
				break;
			}
		}
	}

	#handlePolicySyncNotification(notification: PolicySyncNotification): void {
		switch (notification.kind) {
			case 'adopt': {
				const {version, digest} = notification.version;
				this.options.send({kind: 'policy', policy: notification.version});
				this.#gossip.handle({kind: 'adopted', policy: {version, digest}});
				const source = notification.source.kind;
				this.options.logger.info({version, digest, source}, 'policy in force');
				break;
			}

			case 'ready': {
				this.#isReady = true;
				this.#announcedState = this.#computeState();
				this.#gossip.handle({kind: 'announce', state: this.#announcedState});
				this.#onReady?.();
				break;
			}

			case 'askPeers': {
				this.#gossip.handle({kind: 'survey'});
				break;
			}
		}
	}

	#computeState(): AnnouncedState {
		const state = this.options.readGuardState();
		return this.#isLeaving || state === 'draining' ? 'leaving' : state;
	}

	#sendMembers(): void {
		this.options.send({kind: 'members', members: this.members});
	}
}
