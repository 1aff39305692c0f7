/**
 * Admission trial: open-loop arrivals at one admission controller in front of one simulated
 * server.
 */
import {createHistogram} from 'node:perf_hooks';
import {
	AdaptiveAdmissionController,
	type AdmissionOverrides,
} from '../../src/admission/adaptive-admission-controller.ts';
import {type AdmissionController, type MonotonicClock} from '../../src/admission/types.ts';
import {importance, type Importance} from '../../src/call/types.ts';
import {serviceSchema} from '../../src/policy/schema.ts';
import {EventScheduler} from './event-scheduler.ts';
import {SimulatedServer, type ServerModel} from './simulated-server.ts';
import {createRandomSource, type RandomSource} from './random.ts';

/** Poisson arrivals of requests with the same properties. */
export type RequestStream = {
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
	readonly durationMs: number;
	readonly streams: readonly RequestStream[];
	readonly server: ServerModel;
	readonly createOverrides: (clock: MonotonicClock) => AdmissionOverrides;
};

export type StreamResult = {
	/** Number of requests whose deadline is within the trial. */
	sent: number;
	/** Number of these that were answered within the deadline. */
	good: number;
	/** Total service time of all requests answered within the deadline. */
	workMs: number;
	p99Ms: number;
};

export type TrialResult = {
	readonly streams: ReadonlyMap<string, StreamResult>;
	/** Service time in milliseconds of the requests answered in time, by window in which they ended. */
	readonly workPerWindowMs: readonly number[];
	readonly minLimit: number;
};

/** Length of the windows of `workPerWindowMs`. */
export const windowMs = 100;

/** State of a running trial. */
type RunningTrial = {
	readonly input: TrialInput;
	readonly scheduler: EventScheduler;
	readonly admission: AdmissionController;
	readonly server: SimulatedServer;
	readonly random: RandomSource;
	readonly workPerWindowMs: number[];
	minLimit: number;
	nextAttemptId: number;
};

/**
 * Runs one trial to its end.
 *
 * @example
 * const result = await runTrial(input);
 */
export async function runTrial(input: TrialInput): Promise<TrialResult> {
	const scheduler = EventScheduler.create();
	const clock: MonotonicClock = {readNowMs: scheduler.readNowMs};
	const policy = serviceSchema.parse({name: 'trial', slotsPerServer: input.slots});
	const trial: RunningTrial = {
		input,
		scheduler,
		admission: AdaptiveAdmissionController.create(policy, clock, input.createOverrides(clock)),
		server: SimulatedServer.create(input.server, scheduler.schedule),
		random: createRandomSource(input.seed),
		workPerWindowMs: Array.from({length: Math.ceil(input.durationMs / windowMs)}, () => 0),
		minLimit: input.slots,
		nextAttemptId: 0,
	};
	const readers = input.streams.map(stream => startStream(trial, stream));
	await scheduler.run(input.durationMs);
	const streams = new Map(readers.map(readResult => readResult()));
	return {streams, workPerWindowMs: trial.workPerWindowMs, minLimit: trial.minLimit};
}

/** Starts the arrivals of a stream and returns a function that reads its result. */
function startStream(trial: RunningTrial, stream: RequestStream): () => [string, StreamResult] {
	const histogram = createHistogram({figures: 3});
	const result: StreamResult = {sent: 0, good: 0, workMs: 0, p99Ms: 0};
	const scheduleArrival = () => {
		const gapMs = trial.random.drawExponential(1000 / stream.perSecond);
		trial.scheduler.schedule(trial.scheduler.readNowMs() + gapMs, () => {
			scheduleArrival();
			void sendRequest(trial, stream, result, histogram);
		});
	};

	scheduleArrival();
	return () => {
		result.p99Ms = histogram.percentile(99) / 1000;
		return [stream.callName, result];
	};
}

async function sendRequest(
	trial: RunningTrial,
	stream: RequestStream,
	result: StreamResult,
	histogram: ReturnType<typeof createHistogram>,
): Promise<void> {
	const {scheduler, admission, server} = trial;
	const arrivedAtMs = scheduler.readNowMs();
	// A request whose deadline is after the end of the trial isn't counted, as its result may still be open.
	const isCounted = arrivedAtMs + stream.deadlineMs <= trial.input.durationMs;
	result.sent += isCounted ? 1 : 0;
	const workMs = trial.random.drawServiceMs(stream.serviceMs);
	const attemptId = String(trial.nextAttemptId++);
	const verdict = await admission.admit({
		attemptId,
		callName: stream.callName,
		importance: stream.importance,
		sizeClass: stream.sizeClass,
		deadlineAtMs: arrivedAtMs + stream.deadlineMs,
	});
	trial.minLimit = Math.min(trial.minLimit, admission.readReport().slotLimit);
	if (verdict.kind === 'shed') {
		return;
	}

	const startedAtMs = scheduler.readNowMs();
	server.add(workMs, startedAtMs, () => {
		const nowMs = scheduler.readNowMs();
		admission.release(attemptId, {kind: 'answered', serviceMs: nowMs - startedAtMs});
		const latencyMs = nowMs - arrivedAtMs;
		if (latencyMs <= stream.deadlineMs) {
			result.good += isCounted ? 1 : 0;
			result.workMs += workMs;
			trial.workPerWindowMs[
				Math.min(trial.workPerWindowMs.length - 1, Math.floor(nowMs / windowMs))
			]! += workMs;
			histogram.record(Math.max(1, Math.round(latencyMs * 1000)));
		}
	});
}

/**
 * Creates streams of several importance levels whose total load is `overload` times the capacity of
 * the slots.
 */
export function createMixedStreams(
	slots: number,
	overload: number,
	serviceMs: number,
): RequestStream[] {
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
