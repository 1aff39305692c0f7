/**
 * The control task: membership by gossip and the policy in force.
 */
import {type GuardState} from '../../call/types.ts';
import {isAmongFirst} from '../../membership/rank.ts';
import {gossipPeriodMs} from '../../membership/settings.ts';
import {type Member} from '../../membership/types.ts';
import {type Table} from '../../store/types.ts';
import {spreadLimits} from '../../policy/spread.ts';
import {type PolicyVersion} from '../../policy/types.ts';
import {type Logger} from '../../reporting/logger.ts';
import {readMonotonicMs} from '../clock.ts';
import {type Identity} from '../identity.ts';
import {type ControlMessage} from '../messages.ts';
import {ControlClient} from './control-client.ts';
import {createControlHandler, type ControlRequestHandler} from './control-server.ts';
import {GossipTask, type GossipNews} from './gossip-task.ts';
import {SeedRows} from './seed-rows.ts';
import {SpreadTask, type SpreadNews} from './spread-task.ts';

export type ControlOptions = {
	readonly identity: Identity;
	readonly peerPort: number;
	readonly peerKey: string;
	readonly table: Table;
	readonly logger: Logger;
	readonly readGuardState: () => GuardState;
	readonly send: (message: ControlMessage) => void;
	/** Called when another instance has taken over this server's name. */
	readonly onSuperseded: () => void;
};

type AnnouncedState = 'cold' | 'serving' | 'leaving';

const seedWriteMs = 120_000;
/** The seeds are read again after twice the time, from the first to the last. */
const firstSeedReadMs = 1000;
const lastSeedReadMs = 300_000;
/** Time for the farewell to reach peers, in milliseconds. */
const farewellMs = 300;

/** Owns the exchange with other daemons and the version in force. */
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
	readonly #spread: SpreadTask;
	readonly #seeds: SeedRows;
	#timer: NodeJS.Timeout | undefined;
	#isLeaving = false;
	#announced: AnnouncedState = 'cold';
	#isReady = false;
	#nextSeedWriteMs = 0;
	#nextSeedReadMs = 0;
	#seedReadMs = firstSeedReadMs;
	#onReady: (() => void) | undefined;

	private constructor(private readonly options: ControlOptions) {
		const {identity, peerPort, table, logger} = options;
		this.#client = ControlClient.create(options.peerKey);
		this.#seeds = SeedRows.create(table, () => Date.now());
		this.#spread = SpreadTask.create({
			table,
			logger,
			client: this.#client,
			receiveNews: news => {
				this.#receiveSpread(news);
			},
		});
		const {version, digest} = this.#spread.inForce;
		this.#gossip = GossipTask.create({
			self: {...identity, peerPort, incarnation: 0, state: 'cold', policyVersion: version},
			policy: {version, digest},
			client: this.#client,
			receiveNews: news => {
				this.#receiveGossip(news);
			},
		});
		this.handleRequest = createControlHandler({
			exchange: async request => this.#gossip.answer(request),
			readPolicy: () => this.#spread.readPacked(),
		});
	}

	get policy(): PolicyVersion {
		return this.#spread.inForce;
	}

	/** Members that may get work, as this daemon sees them. */
	get members(): readonly Member[] {
		return this.#gossip.gossip.listUsableMembers();
	}

	/** Resolves once the highest version that can be had is in force. */
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

	/** Announces at once that this daemon takes no new work. */
	leave(): void {
		this.#isLeaving = true;
		this.#announceState();
	}

	/** Tells peers that the daemon is gone, and ends the exchange. */
	async stop(): Promise<void> {
		clearInterval(this.#timer);
		this.#gossip.handle({kind: 'announce', state: 'dead'});
		const endMs = readMonotonicMs() + farewellMs;
		while (this.#gossip.inFlight > 0 && readMonotonicMs() < endMs) {
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
		const {pollersPerDataCentre} = spreadLimits;
		const isPoller = isAmongFirst(gossip.self, gossip.listMembers(), pollersPerDataCentre);
		this.#spread.handle({kind: 'tick', isPoller});
		void this.#refreshSeeds(isPoller);
	}

	/** Announces the guard's state when it changed. */
	#announceState(): void {
		const state = this.#findState();
		if (this.#isReady && state !== this.#announced) {
			this.#announced = state;
			this.#gossip.handle({kind: 'announce', state});
		}
	}

	/** A daemon that knows nobody reads the seeds each second, and is a seed itself. */
	async #refreshSeeds(isPoller: boolean): Promise<void> {
		const nowMs = readMonotonicMs();
		const isAlone = this.#gossip.gossip.listMembers().length === 1;
		if (isPoller && !this.#isLeaving && nowMs >= this.#nextSeedWriteMs) {
			this.#nextSeedWriteMs = nowMs + seedWriteMs;
			const written = await this.#seeds.write(this.#gossip.gossip.self);
			if (written.isErr()) {
				this.#nextSeedWriteMs = 0;
				this.options.logger.warn({error: written.error.message}, 'seed not written');
			}
		}

		if (isAlone || nowMs >= this.#nextSeedReadMs) {
			await this.#readSeeds();
		}
	}

	async #readSeeds(): Promise<void> {
		this.#nextSeedReadMs = readMonotonicMs() + this.#seedReadMs * (0.5 + Math.random());
		this.#seedReadMs = Math.min(lastSeedReadMs, 2 * this.#seedReadMs);
		const endpoints = await this.#seeds.list();
		if (endpoints.isErr()) {
			this.options.logger.warn({error: endpoints.error.message}, 'seeds not read');
			return;
		}

		const {address, peerPort} = this.#gossip.gossip.self;
		const others = endpoints.value.filter(
			endpoint => endpoint.address !== address || endpoint.peerPort !== peerPort,
		);
		this.#gossip.handle({kind: 'seeds', endpoints: others});
	}

	#receiveGossip(news: GossipNews): void {
		switch (news.kind) {
			case 'membersChanged': {
				this.#sendMembers();
				break;
			}

			case 'policyHeard': {
				const {address, peerPort} = news.from;
				const source = {kind: 'peer', address, peerPort} as const;
				this.#spread.handle({kind: 'heard', head: news.policy, source});
				break;
			}

			case 'surveyed': {
				this.#spread.handle({kind: 'peersAsked'});
				break;
			}

			case 'superseded': {
				this.options.logger.error({by: news.by.instanceId}, 'another instance took over');
				this.options.onSuperseded();
				break;
			}
		}
	}

	#receiveSpread(news: SpreadNews): void {
		switch (news.kind) {
			case 'adopt': {
				const {version, digest} = news.version;
				this.options.send({kind: 'policy', policy: news.version});
				this.#gossip.handle({kind: 'adopted', policy: {version, digest}});
				const source = news.source.kind;
				this.options.logger.info({version, digest, source}, 'policy in force');
				break;
			}

			case 'ready': {
				this.#isReady = true;
				this.#announced = this.#findState();
				this.#gossip.handle({kind: 'announce', state: this.#announced});
				this.#onReady?.();
				break;
			}

			case 'askPeers': {
				this.#gossip.handle({kind: 'survey'});
				break;
			}
		}
	}

	#findState(): AnnouncedState {
		const state = this.options.readGuardState();
		return this.#isLeaving || state === 'draining' ? 'leaving' : state;
	}

	#sendMembers(): void {
		this.options.send({kind: 'members', members: this.members});
	}
}
