/** A link that dies without a reset must be replaced, but not the link of a request that is only slow. */
import {Buffer} from 'node:buffer';
import {setTimeout as wait} from 'node:timers/promises';
import test from 'ava';
import {createTestGuard, createTestHead, testMember} from '../guard/fixtures.ts';
import {distances, MemberView} from '../discovery/member-view.ts';
import {type LinkExchange, type LinkListener} from '../link/link-exchange.ts';
import {type ResumeHead} from '../link/messages.ts';
import {Attempt} from './attempt.ts';

/** Longer than the silence after which the link of a request without a known duration is replaced. */
const silentWaitMs = 1000;

type TestLink = {
	pings: number;
	readonly sent: string[];
	readonly listener: LinkListener;
	isClosed: boolean;
	readonly resumeHead?: ResumeHead;
};

/** An attempt over links that send nothing by themselves. */
class AttemptFixture {
	readonly links: TestLink[] = [];
	answerCount = 0;
	readonly attempt: Attempt;

	constructor(slotTimeMs: number, isWhole = true) {
		const pool = {
			open: (_head: unknown, _body: unknown, listener: LinkListener) =>
				this.#createLink({listener}),
			resume: (resumeHead: ResumeHead, listener: LinkListener) =>
				this.#createLink({listener, resumeHead}),
			sync: async () => undefined,
			closeIdleBefore() {
				// The pool has no idle links.
			},
		};
		const view = MemberView.create(testMember, {kind: 'link', pool}, distances.dataCentre);
		const ignore = () => {
			// Tests check the links instead.
		};

		this.attempt = Attempt.create(view, createTestHead('one', {isWhole}), {
			handleMetadata: ignore,
			handleAnswer: () => {
				this.answerCount++;
			},
			handleData: ignore,
			handleEnd: ignore,
			handleRefusal: ignore,
			handleFailure: ignore,
			handleDrain: ignore,
		});
		this.attempt.start(createTestGuard(1).guard, Buffer.alloc(0), slotTimeMs);
	}

	#createLink(parts: {listener: LinkListener; resumeHead?: ResumeHead}): LinkExchange {
		const link: TestLink = {...parts, isClosed: false, pings: 0, sent: []};
		this.links.push(link);
		return {
			incarnation: 'g1',
			reportsTaken: true,
			ping() {
				link.pings++;
			},
			cancel() {
				// Not checked.
			},
			sendBody(chunk) {
				link.sent.push(Buffer.from(chunk).toString());
			},
			endBody() {
				link.sent.push('end');
			},
			setPaused() {
				// Answers arrive whole.
			},
			abandon(listener) {
				link.isClosed = listener === parts.listener;
			},
		};
	}
}

const answer = {status: 200, headers: [], isWhole: true, isNotRun: false, isLeaving: false};

test('a silent link is replaced, resumed with the same incarnation and closed at the end', async t => {
	const fixture = new AttemptFixture(0);
	await wait(silentWaitMs);
	t.is(fixture.links.length, 2);
	t.is(fixture.links[1]!.resumeHead?.incarnation, 'g1');
	t.false(fixture.links[0]!.isClosed);
	fixture.links[1]!.listener.handleAnswer(answer, Buffer.alloc(0));
	t.is(fixture.answerCount, 1);
	t.true(fixture.links[0]!.isClosed);
	t.false(fixture.links[1]!.isClosed);
});

test('a replaced link is closed when the attempt is cancelled', async t => {
	const fixture = new AttemptFixture(0);
	await wait(silentWaitMs);
	fixture.attempt.cancel();
	t.true(fixture.links[0]!.isClosed);
});

test('a usually slow request keeps its link', async t => {
	const fixture = new AttemptFixture(750);
	await wait(silentWaitMs);
	t.is(fixture.links.length, 1);
	fixture.attempt.cancel();
});

// A sound upload that took longer than a second was answered 502 while its server went on.
test('a streamed request keeps its link as long as its guard answers pings', async t => {
	const fixture = new AttemptFixture(0, false);
	const link = fixture.links[0]!;
	for (let pings = 1; pings <= 4; pings++) {
		while (link.pings < pings) {
			await wait(20);
		}

		link.listener.handleTaken(0);
	}

	t.is(fixture.links.length, 1);
	fixture.attempt.cancel();
});

// UNASKED: parts of a body that are sent on after a link was lost would leave a hole in it.
test('a streamed request whose guard answers no ping is resumed, and nothing more of its body is sent', async t => {
	const fixture = new AttemptFixture(0, false);
	fixture.attempt.sendBody(Buffer.from('one'));
	while (fixture.links.length === 1) {
		await wait(20);
	}

	fixture.attempt.sendBody(Buffer.from('two'));
	fixture.attempt.endBody();
	t.deepEqual(
		fixture.links.map(({sent}) => sent),
		[['one'], []],
	);
	fixture.attempt.cancel();
});
