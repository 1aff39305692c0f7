/** Pattern: links that fall silent without a reset, and requests that merely take long. */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {createTestGuard, createTestHead, testMember} from '../guard/fixtures.ts';
import {distances, MemberView} from '../knowledge/member-view.ts';
import {type LinkExchange, type LinkListener} from '../link/link.ts';
import {type ResumeHead} from '../link/messages.ts';
import {Send} from './send.ts';

/** A silence after which an ordinary request has its link replaced. */
const pastSilenceMs = 1000;

type TestLink = {
	readonly listener: LinkListener;
	isClosed: boolean;
	readonly question?: ResumeHead;
};

/** A send over links that say nothing by themselves. */
class TestAttempt {
	readonly links: TestLink[] = [];
	answered = 0;
	readonly send: Send;

	constructor(usualMs: number) {
		const pool = {
			open: (_head: unknown, _body: unknown, listener: LinkListener) => this.#link({listener}),
			resume: (question: ResumeHead, listener: LinkListener) => this.#link({listener, question}),
			sync: async () => undefined,
			closeIdleBefore() {
				// No idle links are kept here.
			},
		};
		const view = MemberView.create(testMember, {kind: 'link', pool}, distances.dataCentre);
		const ignore = () => {
			// The links tell.
		};

		this.send = Send.create(view, createTestHead('one'), {
			handleNews: ignore,
			handleAnswer: () => {
				this.answered++;
			},
			handleData: ignore,
			handleEnd: ignore,
			handleRefusal: ignore,
			handleFailure: ignore,
			handleDrain: ignore,
		});
		this.send.start(createTestGuard(1).guard, Buffer.alloc(0), usualMs);
	}

	#link(parts: {listener: LinkListener; question?: ResumeHead}): LinkExchange {
		const link: TestLink = {...parts, isClosed: false};
		this.links.push(link);
		return {
			incarnation: 'g1',
			cancel() {
				// Nothing is cancelled here.
			},
			sendBody: () => true,
			endBody() {
				// Bodies are whole here.
			},
			setPaused() {
				// Answers are whole here.
			},
			abandon(listener) {
				link.isClosed = listener === parts.listener;
			},
		};
	}
}

const answer = {status: 200, headers: [], isWhole: true, isNotRun: false, serviceMs: 1};

test('a silent link is replaced, asked after with the guard that it led to, and closed at the end', async t => {
	const scene = new TestAttempt(0);
	await wait(pastSilenceMs);
	t.is(scene.links.length, 2);
	t.is(scene.links[1]!.question?.incarnation, 'g1');
	t.false(scene.links[0]!.isClosed);
	scene.links[1]!.listener.handleAnswer(answer, Buffer.alloc(0));
	t.is(scene.answered, 1);
	t.true(scene.links[0]!.isClosed);
	t.false(scene.links[1]!.isClosed);
});

test('a replaced link is closed when the caller leaves, too', async t => {
	const scene = new TestAttempt(0);
	await wait(pastSilenceMs);
	scene.send.cancel();
	t.true(scene.links[0]!.isClosed);
});

test('a request that usually takes long keeps its link', async t => {
	const scene = new TestAttempt(750);
	await wait(pastSilenceMs);
	t.is(scene.links.length, 1);
	scene.send.cancel();
});
