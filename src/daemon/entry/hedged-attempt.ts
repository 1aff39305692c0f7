/**
 * Sends an attempt and, when its answer is late, a second one elsewhere; the first answer wins.
 */
import {type AttemptHead} from './attempt.ts';
import {type RunningAttempt} from './attempt-runner.ts';

/** The attempt whose head counts. */
export type HedgeResult = {
	readonly winner: RunningAttempt;
	readonly head: AttemptHead;
};

export type HedgeInput = {
	readonly first: RunningAttempt;
	/** Milliseconds after which the second attempt is sent. */
	readonly delayMs: number;
	/** Sends the second attempt; undefined when it may not be sent any more. */
	readonly startSecond: () => RunningAttempt | undefined;
};

type Arrival = {readonly from: RunningAttempt; readonly head: AttemptHead};

async function waitForArrival(from: RunningAttempt): Promise<Arrival> {
	return {from, head: await from.head};
}

/** Waits for the head until the delay has passed. */
async function waitWithin(first: Promise<Arrival>, delayMs: number): Promise<Arrival | undefined> {
	let timer: NodeJS.Timeout | undefined;
	const late = new Promise<undefined>(resolve => {
		timer = setTimeout(() => {
			resolve(undefined);
		}, delayMs);
	});
	const arrival = await Promise.race([first, late]);
	clearTimeout(timer);
	return arrival;
}

/**
 * Runs a hedged attempt. An answer wins over a failure; the other attempt is cancelled then.
 *
 * @example
 * const {winner, head} = await runHedged({first, delayMs: 40, startSecond});
 */
export async function runHedged(input: HedgeInput): Promise<HedgeResult> {
	const first = waitForArrival(input.first);
	const early = await waitWithin(first, input.delayMs);
	const second = early === undefined ? input.startSecond() : undefined;
	if (early !== undefined || second === undefined) {
		const {from, head} = early ?? (await first);
		return {winner: from, head};
	}

	const other = waitForArrival(second);
	const arrived = await Promise.race([first, other]);
	const isFirst = arrived.from === input.first;
	if (arrived.head.answer !== undefined) {
		(isFirst ? second : input.first).attempt.cancel();
		return {winner: arrived.from, head: arrived.head};
	}

	const last = await (isFirst ? other : first);
	return {winner: last.from, head: last.head};
}
