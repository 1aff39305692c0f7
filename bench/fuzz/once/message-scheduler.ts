/**
 * Holds every message of the simulation until the test delivers it, so that the test decides the order.
 */

type PendingMessage = {
	readonly owner: string;
	readonly deliver: () => void;
	readonly canDeliver: () => boolean;
};

/** All messages that are not delivered yet. */
export class MessageScheduler {
	/**
	 * @example
	 * const messages = MessageScheduler.create();
	 */
	static create(): MessageScheduler {
		return new MessageScheduler([]);
	}

	private constructor(private pending: PendingMessage[]) {}

	/** Waits until a message of `owner` is delivered. */
	async wait(owner: string, canDeliver: () => boolean): Promise<void> {
		return new Promise(resolve => {
			this.pending.push({owner, deliver: resolve, canDeliver});
		});
	}

	/** Delivers one message; returns false when none can be delivered. */
	deliver(index: number, isFrozen: (owner: string) => boolean): boolean {
		const deliverable = this.pending.filter(
			message => message.canDeliver() && !isFrozen(message.owner),
		);
		const message = deliverable[index % Math.max(1, deliverable.length)];
		if (message === undefined) {
			return false;
		}

		this.pending.splice(this.pending.indexOf(message), 1);
		message.deliver();
		return true;
	}

	/** Removes the messages of an owner that has crashed. */
	removeOwner(owner: string): void {
		this.pending = this.pending.filter(message => message.owner !== owner);
	}
}
