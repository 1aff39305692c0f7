/**
 * Gossip-based membership for one daemon (SWIM): failure detection by pings, dissemination of
 * changes and anti-entropy.
 *
 * This is a state machine without I/O: it takes events and returns the actions to carry out, such
 * as messages to send.
 */
import {type PolicyHead} from '../policy/types.ts';
import {AntiEntropy} from './anti-entropy.ts';
import {ExchangeResultHandler} from './exchange-result-handler.ts';
import {LocalView} from './local-view.ts';
import {
	type Envelope,
	type GossipAction,
	type GossipEvent,
	type GossipRequest,
} from './messages.ts';
import {Outbox} from './outbox.ts';
import {PeerSelector} from './peer-selector.ts';
import {Prober} from './prober.ts';
import {gossipLimits} from './settings.ts';
import {Survey} from './survey.ts';
import {createSyncPayload} from './table-sync.ts';
import {type Member} from './types.ts';

export type GossipOptions = {
	/** Record of the local daemon, with incarnation 0. */
	readonly self: Member;
	readonly policy: PolicyHead;
	/** Returns numbers from 0 (inclusive) to 1 (exclusive). */
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
	readonly #peers: PeerSelector;
	readonly #prober: Prober;
	readonly #antiEntropy: AntiEntropy;
	readonly #survey: Survey;
	readonly #exchangeResults: ExchangeResultHandler;
	#urgentPushTokens: number = gossipLimits.urgentPushesPerSecond;
	#lastTickMs: number | undefined;
	#nextPruneMs = 0;

	private constructor({self, policy, random}: GossipOptions) {
		this.#view = LocalView.create(self, policy);
		this.#peers = PeerSelector.create(this.#view.table, self, random);
		const dependencies = {view: this.#view, outbox: this.#outbox, peers: this.#peers, random};
		this.#prober = Prober.create(dependencies);
		this.#antiEntropy = AntiEntropy.create(dependencies);
		this.#survey = Survey.create(this.#view, this.#outbox);
		this.#exchangeResults = ExchangeResultHandler.create({
			view: this.#view,
			outbox: this.#outbox,
			prober: this.#prober,
			antiEntropy: this.#antiEntropy,
			survey: this.#survey,
		});
	}

	get self(): Member {
		return this.#view.self.member;
	}

	/**
	 * True once this daemon's table was synced with that of another daemon, or it announced its
	 * state.
	 */
	get isJoined(): boolean {
		return this.#view.self.isJoined;
	}

	/**
	 * Lists the members that may receive requests: not dead, and in a reachable data centre. The
	 * local data centre always counts as reachable.
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
	 * Handles one event and returns the actions for the daemon. Times are milliseconds of the
	 * monotonic clock.
	 *
	 * @example
	 * const actions = gossip.handle({kind: 'failed', exchangeId}, performance.now());
	 */
	handle(event: GossipEvent, nowMs: number): GossipAction[] {
		this.#dispatch(event, nowMs);
		const changes = this.#view.drainChanges();
		this.#prober.addMembers(changes.addedServers);
		for (const conflictingInstance of changes.conflictingInstances) {
			this.#prober.ping(conflictingInstance, {kind: 'nameConflict', conflictingInstance});
		}

		this.#survey.startIfScheduled(this.isJoined || !this.#antiEntropy.hasSeeds);
		if (changes.isUrgent || event.kind === 'adopted') {
			this.#pushUrgent();
		}

		if (changes.areMembersChanged) {
			this.#outbox.addAction({kind: 'membersChanged'});
		}

		return this.#outbox.drainActions();
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
				this.#exchangeResults.handleResponse(event.exchangeId, event.response, nowMs);
				break;
			}

			case 'failed': {
				this.#exchangeResults.handleFailure(event.exchangeId, nowMs);
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
				this.#antiEntropy.setSeeds(event.endpoints);
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

		this.#urgentPushTokens = gossipLimits.urgentPushesPerSecond;
		this.#prober.runRound(nowMs);
		this.#antiEntropy.runIfDue(nowMs);
		if (nowMs >= this.#nextPruneMs) {
			this.#nextPruneMs = nowMs + gossipLimits.pruneIntervalMs;
			this.#view.prune(nowMs);
		}
	}

	/** Handles the fields that every message carries. */
	#receive(envelope: Envelope, nowMs: number): void {
		this.#view.receive(envelope, nowMs);
		const {policy, from} = envelope;
		const local = this.#view.self.policy;
		const isConflicting = policy.version === local.version && policy.digest !== local.digest;
		if (policy.version > local.version || isConflicting) {
			this.#outbox.addAction({kind: 'policyHeard', policy, from});
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
				this.#prober.ping(target, {kind: 'relayedPing', target, probeExchangeId: exchangeId});
				break;
			}

			case 'sync': {
				const envelope = this.#view.createEnvelope(request.from);
				const payload = createSyncPayload(this.#view.table, request.digests);
				this.#outbox.respond(exchangeId, {...envelope, kind: 'members', ...payload});
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

		const localMembers = this.#peers.pickLocal(gossipLimits.leavePushFanout);
		const remoteMembers = this.#peers.pickFromEachRemote(
			gossipLimits.leavePushFanoutPerRemoteDataCentre,
		);
		for (const member of [...localMembers, ...remoteMembers]) {
			this.#antiEntropy.push(member);
		}
	}

	#pushUrgent(): void {
		for (const member of this.#peers.pickLocal(gossipLimits.urgentPushFanout)) {
			if (this.#urgentPushTokens <= 0) {
				return;
			}

			this.#urgentPushTokens--;
			this.#antiEntropy.push(member);
		}
	}
}
