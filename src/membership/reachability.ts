/**
 * Which other data centres this daemon can reach; a local view that is not gossiped.
 */

/** Pings in a row without an answer after which a data centre counts as cut off. */
const maxFailures = 3;

type Contact = {failures: number; lastAnswerMs: number};

export class Reachability {
	/**
	 * @example
	 * const reachability = Reachability.create('est-a');
	 */
	static create(ownDataCentre: string): Reachability {
		return new Reachability(ownDataCentre);
	}

	readonly #contacts = new Map<string, Contact>();

	private constructor(private readonly ownDataCentre: string) {
}

	recordAnswer(dataCentre: string, nowMs: number): boolean {
		const wasCut = !this.canReach(dataCentre);
		this.#contacts.set(dataCentre, {failures: 0, lastAnswerMs: nowMs});
		return wasCut;
	}

	/** Counts a ping without an answer; true when the data centre counts as cut off from now on. */
	recordFailure(dataCentre: string, nowMs: number): boolean {
		if (dataCentre === this.ownDataCentre) {
			return false;
		}

		const couldReach = this.canReach(dataCentre);
		const contact = this.#contacts.get(dataCentre) ?? {failures: 0, lastAnswerMs: nowMs};
		contact.failures++;
		this.#contacts.set(dataCentre, contact);
		return couldReach && !this.canReach(dataCentre);
	}

	/** The own data centre can always be reached, and an untried one is taken to be reachable. */
	canReach(dataCentre: string): boolean {
		if (dataCentre === this.ownDataCentre) {
			return true;
		}

		const contact = this.#contacts.get(dataCentre);
		return contact === undefined || contact.failures < maxFailures;
	}

	/** Tells whether a data centre has been cut off for at least `ms`. */
	isCutFor(dataCentre: string, ms: number, nowMs: number): boolean {
		const contact = this.#contacts.get(dataCentre);
		return (
			contact !== undefined && !this.canReach(dataCentre) && nowMs - contact.lastAnswerMs >= ms
		);
	}
}
