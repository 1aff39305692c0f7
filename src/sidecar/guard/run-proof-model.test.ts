/**
 * Pattern: links are lost, answers come late and callers leave, in any order.
 *
 * An entry's send and a guard talk over links that the test delivers, cuts and replaces. An oracle
 * counts what reaches the server.
 */
import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {Send} from '../entry/send.ts';
import {distances, MemberView} from '../knowledge/member-view.ts';
import {type Exchange, type ExchangeListener} from '../link/exchange.ts';
import {type LinkExchange, type LinkListener} from '../link/link.ts';
import {type CallHead, type ResumeHead} from '../link/messages.ts';
import {
	createTestGuard,
	createTestHead,
	type ServerRun,
	testAnswer,
	testIncarnation,
	testMember,
} from './fixtures.ts';
import {type Guard} from './guard.ts';
import {type ConnectionListener} from './server-connection.ts';

/** One link with messages under way in both directions. */
class TestLink implements LinkExchange {
	readonly incarnation = testIncarnation;
	readonly toGuard: Array<() => void> = [];
	readonly toEntry: Array<() => void> = [];
	isCut = false;
	#exchange: Exchange | undefined;
	readonly #guardListener: ExchangeListener;

	constructor(
		private readonly guard: Guard,
		private readonly nonce: string,
		private readonly entryListener: LinkListener,
	) {
		const sendBack = (tell: () => void) => {
			this.toEntry.push(tell);
		};

		this.#guardListener = {
			handleAnswer(head, body) {
				sendBack(() => {
					entryListener.handleAnswer(head, body);
				});
			},
			handleData() {
				// Answers are whole here.
			},
			handleEnd() {
				// Answers are whole here.
			},
			handleRefusal(head) {
				sendBack(() => {
					entryListener.handleRefusal(head);
				});
			},
			handleFailure(head) {
				sendBack(() => {
					entryListener.handleFailure(head);
				});
			},
		};
	}

	open(head: CallHead): this {
		this.toGuard.push(() => {
			this.#exchange = this.guard.accept(head, Buffer.alloc(0), this.#guardListener);
		});
		return this;
	}

	resume(question: ResumeHead): this {
		this.toGuard.push(() => {
			this.#exchange = this.guard.resume(question.nonce, question.incarnation, this.#guardListener);
		});
		return this;
	}

	cancel(): void {
		this.toGuard.push(() => {
			this.#exchange?.cancel();
		});
	}

	sendBody(): boolean {
		return true;
	}

	endBody(): void {
		// Bodies are whole here.
	}

	setPaused(): void {
		// Answers are whole here.
	}

	/** The entry ends a link that it has replaced; the guard hears of it later. */
	abandon(): void {
		this.isCut = true;
		this.toEntry.length = 0;
		this.toGuard.push(() => {
			this.guard.orphan(this.nonce, this.#guardListener);
		});
	}

	/** The entry sees the loss at once; the guard when what was under way has come or is lost. */
	cut(isRequestLost: boolean): void {
		this.isCut = true;
		this.toEntry.length = 0;
		if (isRequestLost) {
			this.toGuard.length = 0;
		}

		this.toGuard.push(() => {
			this.guard.orphan(this.nonce, this.#guardListener);
		});
		this.entryListener.handleLost();
	}
}

/** One world: an entry, a guard with one slot, and a server that the test drives. */
class World {
	readonly links: TestLink[] = [];
	readonly refused = new Set<string>();
	readonly answered = new Map<string, string>();
	readonly sends: Send[] = [];
	readonly #parts = createTestGuard(1);
	readonly #view: MemberView;

	constructor() {
		const pool = {
			open: (head: CallHead, _body: Uint8Array, listener: LinkListener) =>
				this.#link(head.nonce, listener).open(head),
			resume: (question: ResumeHead, listener: LinkListener) =>
				this.#link(question.nonce, listener).resume(question),
			sync: async () => undefined,
			closeIdleBefore() {
				// Links are not kept here.
			},
		};
		this.#view = MemberView.create(testMember, {kind: 'link', pool}, distances.dataCentre);
	}

	get guard(): Guard {
		return this.#parts.guard;
	}

	get runs(): ServerRun[] {
		return this.#parts.runs;
	}

	send(requestId: string): void {
		const head = createTestHead(requestId, {isOnce: true, remainingMs: 60_000});
		const send = Send.create(this.#view, head, {
			handleNews() {
				// News don't matter here.
			},
			handleAnswer: (_head, body) => {
				this.answered.set(requestId, body.toString());
			},
			handleData() {
				// Answers are whole here.
			},
			handleEnd() {
				// Answers are whole here.
			},
			handleRefusal: () => {
				this.refused.add(requestId);
			},
			handleFailure() {
				// Nothing is promised.
			},
			handleDrain() {
				// Bodies are whole here.
			},
		});
		this.sends.push(send);
		send.start(this.guard, Buffer.alloc(0), 0);
	}

	/** Delivers all that is under way, and ends all runs. */
	async settle(): Promise<void> {
		for (let round = 0; round < 50; round++) {
			for (const link of this.links) {
				link.toGuard.shift()?.();
				link.toEntry.shift()?.();
			}

			this.runs.find(run => run.isOpen)?.listener.handleFailure('closed', true);
			for (const run of this.runs) {
				run.isOpen = false;
			}

			await Promise.resolve();
		}

		for (const send of this.sends) {
			send.cancel();
		}
	}

	#link(nonce: string, listener: LinkListener): TestLink {
		const link = new TestLink(this.guard, nonce, listener);
		this.links.push(link);
		return link;
	}
}

const steps = fc.array(
	fc.record({
		kind: fc.constantFrom('send', 'toGuard', 'toEntry', 'cut', 'answer', 'fail', 'cancel'),
		pick: fc.nat(30),
		isLost: fc.boolean(),
	}),
	{minLength: 5, maxLength: 60},
);

type Step = {readonly kind: string; readonly pick: number; readonly isLost: boolean};

function apply(world: World, step: Step, sent: number): void {
	const link = world.links[step.pick % Math.max(1, world.links.length)];
	const run = world.runs[step.pick % Math.max(1, world.runs.length)];
	switch (step.kind) {
		case 'send': {
			world.send(`r${sent}`);
			break;
		}

		case 'toGuard': {
			link?.toGuard.shift()?.();
			break;
		}

		case 'toEntry': {
			link?.toEntry.shift()?.();
			break;
		}

		case 'cut': {
			if (link !== undefined && !link.isCut) {
				link.cut(step.isLost);
			}

			break;
		}

		case 'answer': {
			endRun(run, listener => {
				listener.handleHead(testAnswer);
				listener.handleData(Buffer.from(run!.requestId));
				listener.handleEnd();
			});
			break;
		}

		case 'fail': {
			endRun(run, listener => {
				listener.handleFailure('reset', true);
			});
			break;
		}

		default: {
			world.sends[step.pick % Math.max(1, world.sends.length)]?.cancel();
			break;
		}
	}
}

function endRun(run: ServerRun | undefined, end: (listener: ConnectionListener) => void): void {
	if (run?.isOpen) {
		run.isOpen = false;
		end(run.listener);
	}
}

/** Plays one script and throws when a promise is broken. */
async function play(script: readonly Step[]): Promise<void> {
	const world = new World();
	let sent = 0;
	for (const step of script) {
		apply(world, step, sent);
		sent += step.kind === 'send' ? 1 : 0;
		await Promise.resolve();
	}

	await world.settle();
	assertPromises(world);
}

function assertPromises(world: World): void {
	const runs = new Set<string>();
	for (const {requestId} of world.runs) {
		if (runs.has(requestId)) {
			throw new Error(`${requestId} ran twice`);
		}

		runs.add(requestId);
	}

	for (const requestId of world.refused) {
		if (runs.has(requestId)) {
			throw new Error(`${requestId} was told as not run, and ran`);
		}
	}

	for (const [requestId, body] of world.answered) {
		if (body !== requestId) {
			throw new Error(`${requestId} got the answer of ${body}`);
		}
	}
}

test('a request runs at most once, a refusal is true, and an answer is the own one', async t => {
	const runs = fc.assert(fc.asyncProperty(steps, play), {numRuns: 2000, seed: 20_261_204});
	await t.notThrowsAsync(runs);
});
