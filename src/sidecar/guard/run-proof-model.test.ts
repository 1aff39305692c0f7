/**
 * Model-based test: links are lost, answers arrive late and callers cancel, in any order.
 *
 * An entry's attempt and a guard exchange messages over simulated links that a random script delivers, cuts
 * and replaces. The runs on the fake server are compared with the outcomes at the entry.
 */
import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {Attempt} from '../entry/attempt.ts';
import {distances, MemberView} from '../discovery/member-view.ts';
import {type LinkListener} from '../link/link-exchange.ts';
import {type CallHead, type ResumeHead} from '../link/messages.ts';
import {
	createTestGuard,
	createTestHead,
	type ServerRun,
	testAnswer,
	testMember,
} from './fixtures.ts';
import {type Guard} from './guard.ts';
import {type ConnectionListener} from './connection-events.ts';
import {SimulatedLink} from './simulated-link.ts';

/** An entry, a guard with one slot, and a fake server driven by the script. */
class Simulation {
	readonly links: SimulatedLink[] = [];
	readonly refused = new Set<string>();
	readonly answered = new Map<string, string>();
	readonly attempts: Attempt[] = [];
	readonly #parts = createTestGuard(1);
	readonly #view: MemberView;

	constructor() {
		const pool = {
			open: (head: CallHead, _body: Uint8Array, listener: LinkListener) =>
				this.#createLink(head.nonce, listener).open(head),
			resume: (head: ResumeHead, listener: LinkListener) =>
				this.#createLink(head.nonce, listener).resume(head),
			sync: async () => undefined,
			closeIdleBefore() {
				// Links are not reused here.
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
		const attempt = Attempt.create(this.#view, head, {
			handleMetadata() {
				// Metadata is not checked here.
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
				// A failure guarantees nothing.
			},
			handleDrain() {
				// Bodies are whole here.
			},
		});
		this.attempts.push(attempt);
		attempt.start(this.guard, Buffer.alloc(0), 0);
	}

	/** Delivers all outstanding messages and ends all runs. */
	async deliverAll(): Promise<void> {
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

		for (const attempt of this.attempts) {
			attempt.cancel();
		}
	}

	#createLink(nonce: string, listener: LinkListener): SimulatedLink {
		const link = SimulatedLink.create(this.guard, nonce, listener);
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

function applyStep(simulation: Simulation, step: Step, sent: number): void {
	const link = simulation.links[step.pick % Math.max(1, simulation.links.length)];
	const run = simulation.runs[step.pick % Math.max(1, simulation.runs.length)];
	switch (step.kind) {
		case 'send': {
			simulation.send(`r${sent}`);
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
			simulation.attempts[step.pick % Math.max(1, simulation.attempts.length)]?.cancel();
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

/** Runs one script; throws when an invariant is violated. */
async function runScript(script: readonly Step[]): Promise<void> {
	const simulation = new Simulation();
	let sent = 0;
	for (const step of script) {
		applyStep(simulation, step, sent);
		sent += step.kind === 'send' ? 1 : 0;
		await Promise.resolve();
	}

	await simulation.deliverAll();
	assertInvariants(simulation);
}

function assertInvariants(simulation: Simulation): void {
	const runs = new Set<string>();
	for (const {requestId} of simulation.runs) {
		if (runs.has(requestId)) {
			throw new Error(`${requestId} ran more than once`);
		}

		runs.add(requestId);
	}

	for (const requestId of simulation.refused) {
		if (runs.has(requestId)) {
			throw new Error(`${requestId} was reported as not run, but ran`);
		}
	}

	for (const [requestId, body] of simulation.answered) {
		if (body !== requestId) {
			throw new Error(`${requestId} received the answer of ${body}`);
		}
	}
}

test('a request runs at most once, a refused one never runs, and answers match their requests', async t => {
	const runs = fc.assert(fc.asyncProperty(steps, runScript), {numRuns: 2000, seed: 20_261_204});
	await t.notThrowsAsync(runs);
});
