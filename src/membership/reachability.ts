/**
 * Which other data centres this daemon can reach; a local view that is not gossiped.
 */

/** Pings in a row without an answer after which a data centre counts as cut off. */
const minFailures = 3;
/** Different members that must be silent, where a data centre has that many. */
const minSilentMembers = 3;

type Contact = {
	failures: number;
	readonly silentServers: Set<string>;
	isCut: boolean;
	lastAnswerMs: number;
};

/** A member of another data centre that did not answer. */
export type Silence = {
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
	static create(ownDataCentre: string): Reachability {
		return new Reachability(ownDataCentre);
	}

	readonly #contacts = new Map<string, Contact>();

	private constructor(private readonly ownDataCentre: string) {}

	/** Notes an answer; true when the data centre counted as cut off. */
	recordAnswer(dataCentre: string, nowMs: number): boolean {
		const wasCut = !this.canReach(dataCentre);
		this.#contacts.set(dataCentre, createContact(nowMs));
		return wasCut;
	}

	/** Counts a ping without an answer; true when the data centre counts as cut off from now on. */
	recordSilence(silence: Silence, nowMs: number): boolean {
		const {dataCentre, server, memberCount} = silence;
		const contact = this.#contacts.get(dataCentre) ?? createContact(nowMs);
		contact.failures++;
		contact.silentServers.add(server);
		this.#contacts.set(dataCentre, contact);
		const isSilent = contact.silentServers.size >= Math.min(minSilentMembers, memberCount);
		const couldReach = this.canReach(dataCentre);
		contact.isCut ||= isSilent && contact.failures >= minFailures;
		return couldReach && !this.canReach(dataCentre);
	}

	/** The own data centre can always be reached, and an untried one is taken to be reachable. */
	canReach(dataCentre: string): boolean {
		return dataCentre === this.ownDataCentre || !this.#contacts.get(dataCentre)?.isCut;
	}

	/** Tells whether a data centre has been cut off for at least `ms`. */
	isCutFor(dataCentre: string, ms: number, nowMs: number): boolean {
		const contact = this.#contacts.get(dataCentre);
		return (
			contact !== undefined && !this.canReach(dataCentre) && nowMs - contact.lastAnswerMs >= ms
		);
	}
}

function createContact(nowMs: number): Contact {
	return {failures: 0, silentServers: new Set(), isCut: false, lastAnswerMs: nowMs};
}
