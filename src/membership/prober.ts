/**
 * Pings members directly and, when they don't answer, through helpers; marks members that can't be
 * reached.
 */
import {FailureDetector} from './failure-detector.ts';
import {type LocalView} from './local-view.ts';
import {type GossipRequest, type GossipResponse} from './messages.ts';
import {type Exchange, type IndirectProbe, type Outbox} from './outbox.ts';
import {type PeerSelector} from './peer-selector.ts';
import {PingRotation} from './ping-rotation.ts';
import {gossipLimits} from './settings.ts';
import {type Member} from './types.ts';

export type ProberDependencies = {
	readonly view: LocalView;
	readonly outbox: Outbox;
	readonly peers: PeerSelector;
	/** Returns numbers from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
};

export class Prober {
	/**
	 * @example
	 * const prober = Prober.create({view, outbox, peers, random: Math.random});
	 */
	static create(dependencies: ProberDependencies): Prober {
		return new Prober(dependencies);
	}

	readonly #view: LocalView;
	readonly #outbox: Outbox;
	readonly #peers: PeerSelector;
	readonly #rotation: PingRotation;
	readonly #detector: FailureDetector;

	private constructor({view, outbox, peers, random}: ProberDependencies) {
		this.#view = view;
		this.#outbox = outbox;
		this.#peers = peers;
		this.#rotation = PingRotation.create(random);
		this.#detector = FailureDetector.create(view.table, view.self.member.dataCentre);
	}

	/**
	 * Declares expired suspects dead, then pings the next member of the local data centre, some
	 * remote members, and occasionally a dead one.
	 */
	runRound(nowMs: number): void {
		for (const record of this.#detector.listExpiredSuspects(nowMs)) {
			this.#view.merge(record, nowMs);
		}

		const {table, self} = this.#view;
		const localServers = table.findServers(self.member.dataCentre);
		const next = this.#rotation.pick(localServers, server => server !== self.member.server);
		const remoteTargets = this.#peers.pickRemotePingTargets();
		const localTarget = next === undefined ? undefined : table.findMember(next);
		const deadTarget = this.#peers.pickDeadPingTarget();
		for (const target of [localTarget, deadTarget, ...remoteTargets]) {
			if (target) {
				this.ping(target, {kind: 'ping', target});
			}
		}
	}

	/** Adds the new members of the local data centre to the ping rotation. */
	addMembers(servers: readonly string[]): void {
		const {table, self} = this.#view;
		for (const server of servers) {
			if (table.findMember(server)?.dataCentre === self.member.dataCentre) {
				this.#rotation.add(server);
			}
		}
	}

	/**
	 * Discards pending exchanges after a pause of this process, since pings that went unanswered
	 * during the pause don't show whether the other members run.
	 */
	resetAfterPause(nowMs: number): void {
		this.#outbox.discardExchanges();
		this.#detector.restartSuspicionTimeouts(nowMs);
	}

	ping(target: Member, exchange: Exchange): void {
		const request: GossipRequest = {...this.#view.createEnvelope(target), kind: 'ping'};
		this.#outbox.send(target, request, exchange, gossipLimits.pingTimeoutMs);
	}

	respondToProbe(exchangeId: number, isAlive: boolean): void {
		const response: GossipResponse = {...this.#view.createEnvelope(), kind: 'probed', isAlive};
		this.#outbox.respond(exchangeId, response);
	}

	/**
	 * Records a ping's response. A response from another server at the address means that the target
	 * is dead.
	 */
	handlePingResponse(target: Member, from: Member, nowMs: number): void {
		this.#detector.recordAnswer();
		this.#view.recordAnswer(from.dataCentre, nowMs);
		if (from.instanceId === target.instanceId || from.server === target.server) {
			return;
		}

		const known = this.#view.table.findMember(target.server);
		if (known?.instanceId === target.instanceId) {
			this.#view.merge({...known, state: 'dead'}, nowMs);
		}
	}

	/**
	 * Starts an indirect probe of a member of the local data centre that did not answer. Members of
	 * remote data centres are not suspected; their failures count for the data centre's reachability.
	 */
	handlePingFailure(target: Member, nowMs: number): void {
		if (target.dataCentre !== this.#view.self.member.dataCentre) {
			this.#view.recordPingFailure(target, nowMs);
			return;
		}

		const helpers = this.#peers.pickLocal(
			gossipLimits.helpersPerProbe,
			member => member.server !== target.server && member.state !== 'suspect',
		);
		const probe: IndirectProbe = {
			target,
			pendingCount: helpers.length,
			responseCount: 0,
			isAlive: false,
		};
		for (const helper of helpers) {
			const envelope = this.#view.createEnvelope(helper);
			const request: GossipRequest = {...envelope, kind: 'probe', target};
			this.#outbox.send(
				helper,
				request,
				{kind: 'probe', probe},
				gossipLimits.indirectProbeTimeoutMs,
			);
		}

		if (helpers.length === 0) {
			this.#markUnreachable(target, nowMs);
		}
	}

	/**
	 * Records a helper's response, or undefined for a failure. Marks the target as unreachable when
	 * no helper reached it.
	 */
	recordProbeResult(
		probe: IndirectProbe,
		response: GossipResponse | undefined,
		nowMs: number,
	): void {
		probe.pendingCount--;
		probe.responseCount += response ? 1 : 0;
		probe.isAlive ||= response?.kind === 'probed' && response.isAlive;
		if (probe.pendingCount > 0 || probe.isAlive) {
			return;
		}

		if (probe.responseCount === 0) {
			this.#detector.recordNoAnswer();
		}

		this.#markUnreachable(probe.target, nowMs);
	}

	#markUnreachable(target: Member, nowMs: number): void {
		const record = this.#detector.createUnreachableRecord(target);
		if (record) {
			this.#view.merge(record, nowMs);
		}
	}
}
