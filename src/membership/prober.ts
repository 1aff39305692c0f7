/**
 * Pings of one daemon, directly and through helpers, and what their silence means.
 */
import {FailureDetector} from './failure-detector.ts';
import {type LocalView} from './local-view.ts';
import {type GossipRequest, type GossipResponse} from './messages.ts';
import {type Exchange, type Outbox, type ProbeRound} from './outbox.ts';
import {type PeerChoice} from './peer-choice.ts';
import {ProbeRing} from './probe-ring.ts';
import {gossipLimits} from './settings.ts';
import {type Member} from './types.ts';

/** What the prober works with. */
export type ProberParts = {
	readonly view: LocalView;
	readonly outbox: Outbox;
	readonly peers: PeerChoice;
	/** Gives numbers from 0 up to 1. */
	readonly random: () => number;
};

export class Prober {
	/**
	 * @example
	 * const prober = Prober.create({view, outbox, peers, random: Math.random});
	 */
	static create(parts: ProberParts): Prober {
		return new Prober(parts);
	}

	readonly #view: LocalView;
	readonly #outbox: Outbox;
	readonly #peers: PeerChoice;
	readonly #ring: ProbeRing;
	readonly #detector: FailureDetector;

	private constructor({view, outbox, peers, random}: ProberParts) {
		this.#view = view;
		this.#outbox = outbox;
		this.#peers = peers;
		this.#ring = ProbeRing.create(random);
		this.#detector = FailureDetector.create(view.table, view.self.member.dataCentre);
	}

	/** Pings the next member of the own data centre, some elsewhere, and at times a dead one. */
	runRound(nowMs: number): void {
		for (const death of this.#detector.listDeaths(nowMs)) {
			this.#view.merge(death, nowMs);
		}

		const {table, self} = this.#view;
		const near = table.findServers(self.member.dataCentre);
		const next = this.#ring.pick(near, server => server !== self.member.server);
		const targets = this.#peers.pickFar();
		const nearTarget = next === undefined ? undefined : table.findMember(next);
		const deadTarget = this.#peers.pickDead();
		for (const target of [nearTarget, deadTarget, ...targets]) {
			if (target) {
				this.ping(target, {kind: 'ping', target});
			}
		}
	}

	/** Takes new members of the own data centre into the round of pings. */
	addMembers(servers: readonly string[]): void {
		const {table, self} = this.#view;
		for (const server of servers) {
			if (table.findMember(server)?.dataCentre === self.member.dataCentre) {
				this.#ring.add(server);
			}
		}
	}

	/** After a pause of this process, unanswered pings say nothing of the others. */
	resetAfterPause(nowMs: number): void {
		this.#outbox.reset();
		this.#detector.resetSuspicions(nowMs);
	}

	ping(target: Member, exchange: Exchange): void {
		const request: GossipRequest = {...this.#view.createEnvelope(target), kind: 'ping'};
		this.#outbox.send(target, request, exchange, gossipLimits.pingTimeoutMs);
	}

	answerProbe(exchangeId: number, isAlive: boolean): void {
		const response: GossipResponse = {...this.#view.createEnvelope(), kind: 'probed', isAlive};
		this.#outbox.respond(exchangeId, response);
	}

	/** Settles a ping; another instance at the address proves that the pinged one is gone. */
	settlePing(target: Member, from: Member, nowMs: number): void {
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

	/** Asks helpers to ping a member of the own data centre that did not answer. */
	handleSilence(target: Member, nowMs: number): void {
		if (target.dataCentre !== this.#view.self.member.dataCentre) {
			this.#view.recordSilence(target, nowMs);
			return;
		}

		const helpers = this.#peers.pickNear(
			gossipLimits.helpers,
			member => member.server !== target.server && member.state !== 'suspect',
		);
		const round: ProbeRound = {target, waiting: helpers.length, responses: 0, isAlive: false};
		for (const helper of helpers) {
			const envelope = this.#view.createEnvelope(helper);
			const request: GossipRequest = {...envelope, kind: 'probe', target};
			this.#outbox.send(helper, request, {kind: 'probe', round}, gossipLimits.probeTimeoutMs);
		}

		if (helpers.length === 0) {
			this.#suspect(target, nowMs);
		}
	}

	/** Counts a helper's answer, or its silence, and suspects the target when none reached it. */
	settleProbe(round: ProbeRound, response: GossipResponse | undefined, nowMs: number): void {
		round.waiting--;
		round.responses += response ? 1 : 0;
		round.isAlive ||= response?.kind === 'probed' && response.isAlive;
		if (round.waiting > 0 || round.isAlive) {
			return;
		}

		if (round.responses === 0) {
			this.#detector.recordSilence();
		}

		this.#suspect(round.target, nowMs);
	}

	#suspect(target: Member, nowMs: number): void {
		const suspicion = this.#detector.computeSuspicion(target);
		if (suspicion) {
			this.#view.merge(suspicion, nowMs);
		}
	}
}
