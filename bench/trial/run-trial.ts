/**
 * One trial: open-loop arrivals at one guard in front of one modelled server.
 */
import {createHistogram} from 'node:perf_hooks';
import {
	AdaptiveAdmissionController,
	type AdmissionOverrides,
} from '../../src/admission/adaptive-admission-controller.ts';
import {type AdmissionController, type MonotonicClock} from '../../src/admission/types.ts';
import {importance, type Importance} from '../../src/call/types.ts';
import {serviceSchema} from '../../src/policy/schema.ts';
import {EventLoop} from './event-loop.ts';
import {ModelledServer, type ServerModel} from './modelled-server.ts';
import {createRandom, type RandomSource} from './random.ts';

/** A stream of equal requests. */
export type Stream = {
	readonly callName: string;
	readonly sizeClass: 'short' | 'long';
	readonly importance: Importance;
	readonly perSecond: number;
	readonly serviceMs: number;
	readonly deadlineMs: number;
};

export type TrialInput = {
	readonly seed: number;
	readonly slots: number;
	readonly forMs: number;
	readonly streams: readonly Stream[];
	readonly server: ServerModel;
	readonly createParts: (clock: MonotonicClock) => AdmissionOverrides;
};

export type StreamResult = {
	sent: number;
	/** Answered within the deadline. */
	good: number;
	/** Service time of the good ones. */
	workMs: number;
	p99Ms: number;
};

export type TrialResult = {
	readonly streams: ReadonlyMap<string, StreamResult>;
	/** Good work in milliseconds of service time, per 100 ms of the trial. */
	readonly workPerWindowMs: readonly number[];
	readonly leastLimit: number;
};

export const windowMs = 100;

/** State of a running trial. */
type Trial = {
	readonly input: TrialInput;
	readonly loop: EventLoop;
	readonly admission: AdmissionController;
	readonly server: ModelledServer;
	readonly random: RandomSource;
	readonly work: number[];
	leastLimit: number;
	sequence: number;
};

/**
 * Runs one trial to its end.
 *
 * @example
 * const result = await runTrial(input);
 */
export async function runTrial(input: TrialInput): Promise<TrialResult> {
	const loop = EventLoop.create();
	const clock: MonotonicClock = {readNowMs: loop.readNowMs};
	const policy = serviceSchema.parse({name: 'trial', slotsPerServer: input.slots});
	const trial: Trial = {
		input,
		loop,
		admission: AdaptiveAdmissionController.create(policy, clock, input.createParts(clock)),
		server: ModelledServer.create(input.server, loop.schedule),
		random: createRandom(input.seed),
		work: Array.from({length: Math.ceil(input.forMs / windowMs)}, () => 0),
		leastLimit: input.slots,
		sequence: 0,
	};
	const finishers = input.streams.map(stream => startStream(trial, stream));
	await loop.run(input.forMs);
	const streams = new Map(finishers.map(finish => finish()));
	return {streams, workPerWindowMs: trial.work, leastLimit: trial.leastLimit};
}

/** Starts the arrivals of a stream; the returned function reads its result. */
function startStream(trial: Trial, stream: Stream): () => [string, StreamResult] {
	const histogram = createHistogram({figures: 3});
	const result: StreamResult = {sent: 0, good: 0, workMs: 0, p99Ms: 0};
	const schedule = () => {
		const gapMs = trial.random.readExponential(1000 / stream.perSecond);
		trial.loop.schedule(trial.loop.readNowMs() + gapMs, () => {
			schedule();
			void sendRequest(trial, stream, result, histogram);
		});
	};

	schedule();
	return () => {
		result.p99Ms = histogram.percentile(99) / 1000;
		return [stream.callName, result];
	};
}

async function sendRequest(
	trial: Trial,
	stream: Stream,
	result: StreamResult,
	histogram: ReturnType<typeof createHistogram>,
): Promise<void> {
	const {loop, admission, server} = trial;
	const arrivedAtMs = loop.readNowMs();
	// Requests whose deadline lies beyond the end are not counted.
	const isCounted = arrivedAtMs + stream.deadlineMs <= trial.input.forMs;
	result.sent += isCounted ? 1 : 0;
	const workMs = trial.random.readServiceMs(stream.serviceMs);
	const attemptId = String(trial.sequence++);
	const verdict = await admission.admit({
		attemptId,
		callName: stream.callName,
		importance: stream.importance,
		sizeClass: stream.sizeClass,
		deadlineAtMs: arrivedAtMs + stream.deadlineMs,
	});
	trial.leastLimit = Math.min(trial.leastLimit, admission.readReport().slotLimit);
	if (verdict.kind === 'shed') {
		return;
	}

	const startedAtMs = loop.readNowMs();
	server.add(workMs, startedAtMs, () => {
		const nowMs = loop.readNowMs();
		admission.release(attemptId, {kind: 'answered', serviceMs: nowMs - startedAtMs});
		const latencyMs = nowMs - arrivedAtMs;
		if (latencyMs <= stream.deadlineMs) {
			result.good += isCounted ? 1 : 0;
			result.workMs += workMs;
			trial.work[Math.min(trial.work.length - 1, Math.floor(nowMs / windowMs))]! += workMs;
			histogram.record(Math.max(1, Math.round(latencyMs * 1000)));
		}
	});
}

/** Streams of every importance that together ask for a multiple of the slots. */
export function createMixedStreams(slots: number, overload: number, serviceMs: number): Stream[] {
	const shares = [
		[importance.critical, 0.1],
		[importance.high, 0.15],
		[importance.normal, 0.35],
		[importance.low, 0.4],
	] as const;
	const perSecond = (overload * slots * 1000) / serviceMs;
	return shares.map(([level, share]) => ({
		callName: `importance-${level}`,
		sizeClass: 'short',
		importance: level,
		perSecond: perSecond * share,
		serviceMs,
		deadlineMs: 500,
	}));
}
