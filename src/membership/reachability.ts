/**
 * Tracks which remote data centres this daemon can reach. The result is local and is not gossiped.
 */

/** Consecutive unanswered pings after which a data centre is considered unreachable. */
const minConsecutiveFailures = 3;
/** Distinct members that must have failed to answer; all of them in a smaller data centre. */
const minFailedServers = 3;

type DataCentreStatus = {
	failureCount: number;
	readonly failedServers: Set<string>;
	isUnreachable: boolean;
	lastAnswerMs: number;
};

/** An unanswered ping to a member of a remote data centre. */
export type PingFailure = {
	readonly dataCentre: string;
	readonly server: string;
	/** Members of that data centre that are not dead. */
	readonly memberCount: number;
};

export class Reachability {
	/**
	 * @example
	 * const reachability = Reachability.create('est-a');
	 */
	static create(localDataCentre: string): Reachability {
		return new Reachability(localDataCentre);
	}

	readonly #statuses = new Map<string, DataCentreStatus>();

	private constructor(private readonly localDataCentre: string) {}

	/** Records an answer; returns true when the data centre was unreachable before. */
	recordAnswer(dataCentre: string, nowMs: number): boolean {
		const wasUnreachable = !this.canReach(dataCentre);
		this.#statuses.set(dataCentre, createStatus(nowMs));
		return wasUnreachable;
	}

	/** Records an unanswered ping; returns true when it makes the data centre unreachable. */
	recordFailure(failure: PingFailure, nowMs: number): boolean {
		const {dataCentre, server, memberCount} = failure;
		const status = this.#statuses.get(dataCentre) ?? createStatus(nowMs);
		status.failureCount++;
		status.failedServers.add(server);
		this.#statuses.set(dataCentre, status);
		const hasEnoughFailedServers =
			status.failedServers.size >= Math.min(minFailedServers, memberCount);
		const couldReach = this.canReach(dataCentre);
		status.isUnreachable ||=
			hasEnoughFailedServers && status.failureCount >= minConsecutiveFailures;
		return couldReach && !this.canReach(dataCentre);
	}

	/**
	 * The local data centre is always reachable; one that was never pinged is assumed to be
	 * reachable.
	 */
	canReach(dataCentre: string): boolean {
		return dataCentre === this.localDataCentre || !this.#statuses.get(dataCentre)?.isUnreachable;
	}

	/** Returns whether a data centre is unreachable and has not answered for at least `ms`. */
	isUnreachableFor(dataCentre: string, ms: number, nowMs: number): boolean {
		const status = this.#statuses.get(dataCentre);
		return status !== undefined && !this.canReach(dataCentre) && nowMs - status.lastAnswerMs >= ms;
	}
}

function createStatus(nowMs: number): DataCentreStatus {
	return {failureCount: 0, failedServers: new Set(), isUnreachable: false, lastAnswerMs: nowMs};
}
