/**
 * Gates at which every message of the world waits until the test lets it pass.
 */

type Gate = {
	readonly owner: string;
	readonly pass: () => void;
	readonly canPass: () => boolean;
};

/** All messages that wait. */
export class Gates {
	/**
	 * @example
	 * const gates = Gates.create();
	 */
	static create(): Gates {
		return new Gates([]);
	}

	private constructor(private gates: Gate[]) {}

	/** Waits until a message of `owner` may pass. */
	async wait(owner: string, canPass: () => boolean): Promise<void> {
		return new Promise(resolve => {
			this.gates.push({owner, pass: resolve, canPass});
		});
	}

	/** Lets one message pass; false when none can. */
	pass(index: number, isFrozen: (owner: string) => boolean): boolean {
		const open = this.gates.filter(gate => gate.canPass() && !isFrozen(gate.owner));
		const gate = open[index % Math.max(1, open.length)];
		if (gate === undefined) {
			return false;
		}

		this.gates.splice(this.gates.indexOf(gate), 1);
		gate.pass();
		return true;
	}

	/** Removes the messages of an owner that is gone. */
	remove(owner: string): void {
		this.gates = this.gates.filter(gate => gate.owner !== owner);
	}
}
