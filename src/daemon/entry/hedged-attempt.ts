/**
 * Hedging: when the answer to an attempt is late, a second attempt is sent; the first answer is used.
 */
import {type AttemptHead} from './attempt.ts';
import {type RunningAttempt} from './attempt-runner.ts';

/** The attempt whose head is used, and that head. */
export type HedgedAttemptResult = {
	readonly winner: RunningAttempt;
	readonly head: AttemptHead;
};

export type HedgedAttemptInput = {
	readonly first: RunningAttempt;
	/** Milliseconds after which the second attempt is sent. */
	readonly delayMs: number;
	/** Sends the second attempt; returns undefined if it is no longer allowed. */
	readonly startSecond: () => RunningAttempt | undefined;
};

type ReceivedHead = {readonly from: RunningAttempt; readonly head: AttemptHead};

async function waitForHead(from: RunningAttempt): Promise<ReceivedHead> {
	return {from, head: await from.head};
}

/** Waits for the head for at most the delay; resolves with undefined if it has not arrived by then. */
async function waitAtMost(
	head: Promise<ReceivedHead>,
	delayMs: number,
): Promise<ReceivedHead | undefined> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>(resolve => {
		timer = setTimeout(() => {
			resolve(undefined);
		}, delayMs);
	});
	const received = await Promise.race([head, timeout]);
	clearTimeout(timer);
	return received;
}

/**
 * Runs a hedged attempt. After the first answer the other attempt is cancelled; after a failure the other
 * attempt's head is used.
 *
 * @example
 * const {winner, head} = await runHedgedAttempt({first, delayMs: 40, startSecond});
 */
export async function runHedgedAttempt(input: HedgedAttemptInput): Promise<HedgedAttemptResult> {
	const firstHead = waitForHead(input.first);
	const earlyHead = await waitAtMost(firstHead, input.delayMs);
	const second = earlyHead === undefined ? input.startSecond() : undefined;
	if (earlyHead !== undefined || second === undefined) {
		const {from, head} = earlyHead ?? (await firstHead);
		return {winner: from, head};
	}

	const secondHead = waitForHead(second);
	const received = await Promise.race([firstHead, secondHead]);
	const isFirst = received.from === input.first;
	if (received.head.answer !== undefined) {
		(isFirst ? second : input.first).attempt.cancel();
		return {winner: received.from, head: received.head};
	}

	const otherHead = await (isFirst ? secondHead : firstHead);
	return {winner: otherHead.from, head: otherHead.head};
}
