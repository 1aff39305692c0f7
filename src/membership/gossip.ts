/**
 * Membership by gossip for one daemon: pings, suspicion, spread of changes and repair.
 *
 * The aggregate does no I/O: events go in, and the messages to send come out.
 */
import {type PolicyHead} from '../policy/types.ts';
import {ExchangeEnds} from './exchange-ends.ts';
import {LocalView} from './local-view.ts';
import {
	type Envelope,
	type GossipAction,
	type GossipEvent,
	type GossipRequest,
} from './messages.ts';
import {Outbox} from './outbox.ts';
import {PeerChoice} from './peer-choice.ts';
import {Prober} from './prober.ts';
import {gossipLimits} from './settings.ts';
import {Survey} from './survey.ts';
import {TableRepair} from './table-repair.ts';
import {createSyncAnswer} from './table-sync.ts';
import {type Member} from './types.ts';

/** What a daemon brings to its gossip. */
export type GossipOptions = {
	/** The daemon's own record; its incarnation is 0. */
	readonly self: Member;
	readonly policy: PolicyHead;
	/** Gives numbers from 0 up to 1. */
	readonly random: () => number;
};

type AnnouncedState = Extract<GossipEvent, {kind: 'announce'}>['state'];

export class Gossip {
	/**
	 * @example
	 * const gossip = Gossip.create({self, policy: {version: 0, digest: ''}, random: Math.random});
	 * for (const action of gossip.handle({kind: 'tick'}, performance.now())) run(action);
	 */
	static create(options: GossipOptions): Gossip {
		return new Gossip(options);
	}

	readonly #view: LocalView;
	readonly #outbox = Outbox.create(1);
	readonly #peers: PeerChoice;
	readonly #prober: Prober;
	readonly #repair: TableRepair;
	readonly #survey: Survey;
	readonly #ends: ExchangeEnds;
	#urgentTokens: number = gossipLimits.urgentPushesPerSecond;
	#lastTickMs: number | undefined;
	#nextPruneMs = 0;

	private constructor({self, policy, random}: GossipOptions) {
		this.#view = LocalView.create(self, policy);
		this.#peers = PeerChoice.create(this.#view.table, self, random);
		const parts = {view: this.#view, outbox: this.#outbox, peers: this.#peers, random};
		this.#prober = Prober.create(parts);
		this.#repair = TableRepair.create(parts);
		this.#survey = Survey.create(this.#view, this.#outbox);
		this.#ends = ExchangeEnds.create({
			view: this.#view,
			outbox: this.#outbox,
			prober: this.#prober,
			repair: this.#repair,
			survey: this.#survey,
		});
	}

	get self(): Member {
		return this.#view.self.member;
	}

	/** True once the tables of this daemon and of another one agreed, or it announced itself. */
	get isJoined(): boolean {
		return this.#view.self.isJoined;
	}

	/**
	 * Lists the members that may get work: not dead, and in a data centre that can be reached. Those
	 * of the own data centre are never left out for the state of a link.
	 *
	 * @example
	 * router.setMembers(gossip.listUsableMembers(), nowMs);
	 */
	listUsableMembers(): Member[] {
		const {table, reachability} = this.#view;
		return table.listLive().filter(member => reachability.canReach(member.dataCentre));
	}

	/** Lists all members that are not dead. */
	listMembers(): Member[] {
		return this.#view.table.listLive();
	}

	/**
	 * Handles one event and returns what the daemon has to do. Times are milliseconds of the monotonic
	 * clock.
	 *
	 * @example
	 * const actions = gossip.handle({kind: 'failed', exchangeId}, performance.now());
	 */
	handle(event: GossipEvent, nowMs: number): GossipAction[] {
		this.#dispatch(event, nowMs);
		const changes = this.#view.releaseChanges();
		this.#prober.addMembers(changes.added);
		for (const rival of changes.rivals) {
			this.#prober.ping(rival, {kind: 'rival', rival});
		}

		this.#survey.runWhenDue(this.isJoined || !this.#repair.hasSeeds);
		if (changes.isUrgent || event.kind === 'adopted') {
			this.#pushUrgent();
		}

		if (changes.isChanged) {
			this.#outbox.add({kind: 'membersChanged'});
		}

		return this.#outbox.releaseActions();
	}

	#dispatch(event: GossipEvent, nowMs: number): void {
		switch (event.kind) {
			case 'tick': {
				this.#handleTick(nowMs);
				break;
			}

			case 'request': {
				this.#receive(event.request, nowMs);
				this.#handleRequest(event.exchangeId, event.request);
				break;
			}

			case 'response': {
				this.#receive(event.response, nowMs);
				this.#ends.handleResponse(event.exchangeId, event.response, nowMs);
				break;
			}

			case 'failed': {
				this.#ends.handleFailure(event.exchangeId, nowMs);
				break;
			}

			case 'announce': {
				this.#handleAnnouncement(event.state, nowMs);
				break;
			}

			case 'adopted': {
				this.#view.self.setPolicy(event.policy);
				const {server, instanceId} = this.self;
				this.#view.table.setPolicyVersion(server, instanceId, event.policy.version);
				break;
			}

			case 'survey': {
				this.#survey.schedule();
				break;
			}

			case 'seeds': {
				this.#repair.setSeeds(event.endpoints);
				break;
			}
		}
	}

	#handleTick(nowMs: number): void {
		const gapMs = nowMs - (this.#lastTickMs ?? nowMs);
		this.#lastTickMs = nowMs;
		if (gapMs > gossipLimits.maxTickGapMs) {
			this.#prober.resetAfterPause(nowMs);
		}

		this.#urgentTokens = gossipLimits.urgentPushesPerSecond;
		this.#prober.runRound(nowMs);
		this.#repair.runWhenDue(nowMs);
		if (nowMs >= this.#nextPruneMs) {
			this.#nextPruneMs = nowMs + gossipLimits.pruneIntervalMs;
			this.#view.prune(nowMs);
		}
	}

	/** Takes over what every message carries. */
	#receive(envelope: Envelope, nowMs: number): void {
		this.#view.receive(envelope, nowMs);
		const {policy, from} = envelope;
		const own = this.#view.self.policy;
		const isOther = policy.version === own.version && policy.digest !== own.digest;
		if (policy.version > own.version || isOther) {
			this.#outbox.add({kind: 'policyHeard', policy, from});
		}
	}

	#handleRequest(exchangeId: number, request: GossipRequest): void {
		switch (request.kind) {
			case 'ping':
			case 'push': {
				const envelope = this.#view.createEnvelope(request.from);
				this.#outbox.respond(exchangeId, {...envelope, kind: 'ack'});
				break;
			}

			case 'probe': {
				const {target} = request;
				this.#prober.ping(target, {kind: 'relayedPing', target, askedBy: exchangeId});
				break;
			}

			case 'sync': {
				const envelope = this.#view.createEnvelope(request.from);
				const answer = createSyncAnswer(this.#view.table, request.digests);
				this.#outbox.respond(exchangeId, {...envelope, kind: 'members', ...answer});
				break;
			}
		}
	}

	#handleAnnouncement(state: AnnouncedState, nowMs: number): void {
		const {self} = this.#view;
		self.setState(state);
		self.setJoined();
		this.#view.merge(self.member, nowMs);
		if (state !== 'leaving' && state !== 'dead') {
			return;
		}

		const near = this.#peers.pickNear(gossipLimits.leaveFanout);
		const elsewhere = this.#peers.pickElsewhere(gossipLimits.leaveFanoutElsewhere);
		for (const member of [...near, ...elsewhere]) {
			this.#repair.push(member);
		}
	}

	#pushUrgent(): void {
		for (const member of this.#peers.pickNear(gossipLimits.urgentFanout)) {
			if (this.#urgentTokens <= 0) {
				return;
			}

			this.#urgentTokens--;
			this.#repair.push(member);
		}
	}
}
