/**
 * Computes the share of its demand that a server can accept from the utilization of its slots.
 *
 * Each step multiplies the share by a power of the target utilization over the measured one, so the share
 * falls while requests queue and rises again as soon as slots are free. Shedding must end with the overload
 * that caused it, and needs no other event to do so.
 */

/**
 * Target utilization of the slots, waiting requests included. A queue of a third of the slots delays a
 * request by about a third of the run time of the others; a server with a shorter queue is not overloaded.
 */
const targetUtilization = 1.3;
const stepMs = 100;
/** Exponents of the step factor. A growing queue must be stopped faster than capacity is returned. */
const decreaseExponent = 0.45;
const increaseExponent = 0.25;
/** Smallest and largest factor by which one step changes the share. */
const minStepFactor = 0.8;
const maxStepFactor = 1.25;
const minShare = 0.03;

export class OpenShareController {
	/**
	 * @example
	 * const openShare = OpenShareController.create();
	 * openShare.recordUtilization(0.7, nowMs);
	 */
	static create(): OpenShareController {
		return new OpenShareController();
	}

	#share = 1;
	#utilizationSum = 0;
	#sampleCount = 0;
	#steppedAtMs = 0;

	private constructor() {
		// Instances are created with `create`.
	}

	/**
	 * Records the utilization of the slots that an arriving request finds.
	 *
	 * @param utilization - running and waiting requests per slot
	 */
	recordUtilization(utilization: number, nowMs: number): void {
		this.#utilizationSum += utilization;
		this.#sampleCount++;
		this.#updateShare(nowMs);
	}

	/** Returns the share of the demand that the server can accept, from `minShare` to 1. */
	read(nowMs: number): number {
		this.#updateShare(nowMs);
		return this.#share;
	}

	#updateShare(nowMs: number): void {
		const elapsedMs = nowMs - this.#steppedAtMs;
		if (elapsedMs < stepMs) {
			return;
		}

		const meanUtilization = this.#sampleCount === 0 ? 0 : this.#utilizationSum / this.#sampleCount;
		this.#share = Math.min(1, Math.max(minShare, this.#share * computeStepFactor(meanUtilization)));
		this.#steppedAtMs = nowMs;
		this.#utilizationSum = 0;
		this.#sampleCount = 0;
	}
}

function computeStepFactor(meanUtilization: number): number {
	if (meanUtilization <= 0) {
		return maxStepFactor;
	}

	const ratio = targetUtilization / meanUtilization;
	return ratio < 1
		? Math.max(minStepFactor, ratio ** decreaseExponent)
		: Math.min(maxStepFactor, ratio ** increaseExponent);
}
