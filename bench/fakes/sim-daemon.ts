/**
 * The control task of one daemon on a simulated clock, network and table, with the real gossip, policy
 * sync and policy store.
 */
import {Gossip} from '../../src/membership/gossip.ts';
import {
	type GossipAction,
	type GossipRequest,
	type GossipResponse,
} from '../../src/membership/messages.ts';
import {isAmongLowestRanked} from '../../src/membership/rank.ts';
import {gossipPeriodMs} from '../../src/membership/settings.ts';
import {type Member} from '../../src/membership/types.ts';
import {builtInVersion} from '../../src/policy/built-in.ts';
import {
	PolicySync,
	policySyncLimits,
	type PolicySource,
	type PolicySyncAction,
	type PolicySyncEvent,
} from '../../src/policy/policy-sync.ts';
import {httpOverheadBytes, type SimDaemonDependencies} from './sim-daemon-dependencies.ts';
import {SimProcess} from './sim-process.ts';

export class SimDaemon extends SimProcess {
	/**
	 * @example
	 * const daemon = SimDaemon.create(member, dependencies);
	 * daemon.start();
	 */
	static create(member: Member, dependencies: SimDaemonDependencies): SimDaemon {
		return new SimDaemon(member, dependencies);
	}

	readonly gossip: Gossip;
	readonly policySync: PolicySync;
	readonly stats = {bytes: 0, messages: 0, handleMs: 0, tableReads: 0, disagreements: 0};
	isSuperseded = false;
	#nextExchangeId = 1;
	readonly #pendingResponses = new Map<number, (response: GossipResponse) => void>();

	private constructor(
		member: Member,
		private readonly dependencies: SimDaemonDependencies,
	) {
		super();
		const {random, clock} = dependencies;
		const policy = {version: 0, digest: builtInVersion.digest};
		this.gossip = Gossip.create({self: member, policy, random});
		this.policySync = PolicySync.create(builtInVersion, clock.nowMs);
	}

	get member(): Member {
		return this.gossip.self;
	}

	start(): void {
		this.#readSeeds();
		this.#tick();
		this.dependencies.clock.schedule(this.dependencies.random() * gossipPeriodMs, () => {
			this.#scheduleTick();
		});
	}

	/** Announces a new state of this daemon to the other members. */
	announce(state: 'serving' | 'leaving' | 'dead'): void {
		this.#runGossip(this.gossip.handle({kind: 'announce', state}, this.dependencies.clock.nowMs));
	}

	/** Handles a gossip request from the network; `respond` is called with the response. */
	receive(request: GossipRequest, respond: (response: GossipResponse) => void): void {
		this.run(() => {
			const exchangeId = this.#nextExchangeId++;
			this.#pendingResponses.set(exchangeId, respond);
			this.#handleGossip({kind: 'request', exchangeId, request});
		});
	}

	#scheduleTick(): void {
		if (!this.isRunning) {
			return;
		}

		this.run(() => {
			this.#tick();
		});
		this.dependencies.clock.schedule(gossipPeriodMs, () => {
			this.#scheduleTick();
		});
	}

	#readSeeds(): void {
		this.#handleGossip({kind: 'seeds', endpoints: this.dependencies.listSeeds()});
	}

	#tick(): void {
		this.#handleGossip({kind: 'tick'});
		const members = this.gossip.listMembers();
		if (members.length === 1 && this.dependencies.canReachTable()) {
			this.#readSeeds();
		}

		const isPoller = isAmongLowestRanked(
			this.member,
			members,
			policySyncLimits.pollersPerDataCentre,
		);
		this.#handlePolicySync({kind: 'tick', isPoller});
	}

	#handleGossip(event: Parameters<Gossip['handle']>[0]): void {
		const startMs = performance.now();
		const actions = this.gossip.handle(event, this.dependencies.clock.nowMs);
		this.stats.handleMs += performance.now() - startMs;
		this.#runGossip(actions);
	}

	#runGossip(actions: readonly GossipAction[]): void {
		for (const action of actions) {
			switch (action.kind) {
				case 'send': {
					this.#send(action);
					break;
				}

				case 'respond': {
					const respond = this.#pendingResponses.get(action.exchangeId);
					this.#pendingResponses.delete(action.exchangeId);
					respond?.(action.response);
					break;
				}

				case 'policyHeard': {
					const {address, peerPort} = action.from;
					const source: PolicySource = {kind: 'peer', address, peerPort};
					this.#handlePolicySync({kind: 'heard', head: action.policy, source});
					break;
				}

				case 'superseded': {
					this.isSuperseded = true;
					break;
				}

				case 'surveyed': {
					this.#handlePolicySync({kind: 'peersAsked'});
					break;
				}

				case 'membersChanged': {
					break;
				}
			}
		}
	}

	#send(action: Extract<GossipAction, {kind: 'send'}>): void {
		const {exchangeId, request} = action;
		let isSettled = false;
		const settle = (event: Parameters<Gossip['handle']>[0]): void => {
			this.run(() => {
				if (!isSettled) {
					isSettled = true;
					this.#handleGossip(event);
				}
			});
		};

		this.#countBytes(request);
		const target = this.dependencies.findDaemon(action.to);
		if (target) {
			this.dependencies.network.send(this.member, target.member, () => {
				target.#countBytes(request);
				target.receive(request, response => {
					target.#countBytes(response);
					this.dependencies.network.send(target.member, this.member, () => {
						this.#countBytes(response);
						settle({kind: 'response', exchangeId, response});
					});
				});
			});
		}

		this.dependencies.clock.schedule(action.timeoutMs, () => {
			settle({kind: 'failed', exchangeId});
		});
	}

	#countBytes(message: unknown): void {
		this.stats.messages++;
		this.stats.bytes += JSON.stringify(message).length + httpOverheadBytes;
	}

	#handlePolicySync(event: PolicySyncEvent): void {
		for (const action of this.policySync.handle(event, this.dependencies.clock.nowMs)) {
			this.#runPolicySync(action);
		}
	}

	#runPolicySync(action: PolicySyncAction): void {
		switch (action.kind) {
			case 'readHead': {
				this.#readTable({kind: 'headFailed'}, async () => {
					const head = await this.dependencies.store.readHead();
					return head.isOk() ? {kind: 'headRead', head: head.value} : {kind: 'headFailed'};
				});
				break;
			}

			case 'fetch': {
				this.#fetch(action.version, action.source);
				break;
			}

			case 'adopt': {
				const {version, digest} = action.version;
				this.dependencies.onAdopt?.(this, action.version);
				this.#handleGossip({kind: 'adopted', policy: {version, digest}});
				break;
			}

			case 'ready': {
				this.dependencies.onReady?.(this);
				this.announce('serving');
				break;
			}

			case 'disagreement': {
				this.stats.disagreements++;
				break;
			}

			case 'askPeers': {
				this.#handleGossip({kind: 'survey'});
				break;
			}
		}
	}

	#fetch(version: number, source: PolicySource): void {
		if (source.kind === 'table') {
			this.#readTable({kind: 'fetchFailed', source}, async () => {
				const read = await this.dependencies.store.readVersion(version);
				return read.isOk()
					? {kind: 'fetched', version: read.value, source}
					: {kind: 'fetchFailed', source};
			});
			return;
		}

		const peer = this.dependencies.findDaemon(source);
		if (!peer) {
			this.#handleLater({kind: 'fetchFailed', source});
			return;
		}

		this.dependencies.network.send(this.member, peer.member, () => {
			peer.run(() => {
				const {inForce} = peer.policySync;
				peer.#countBytes(inForce);
				this.dependencies.network.send(peer.member, this.member, () => {
					this.#countBytes(inForce);
					this.run(() => {
						this.#handlePolicySync({kind: 'fetched', version: inForce, source});
					});
				});
			});
		});
	}

	#handleLater(event: PolicySyncEvent): void {
		this.dependencies.clock.schedule(1, () => {
			this.run(() => {
				this.#handlePolicySync(event);
			});
		});
	}

	#readTable(failure: PolicySyncEvent, read: () => Promise<PolicySyncEvent>): void {
		this.stats.tableReads++;
		this.dependencies.clock.schedule(this.dependencies.tableDelayMs, async () => {
			const event = this.dependencies.canReachTable() ? await read() : failure;
			this.run(() => {
				this.#handlePolicySync(event);
			});
		});
	}
}
