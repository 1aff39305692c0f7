/**
 * Weighs which requests end the servers that run them (poison message, quarantine).
 *
 * All requests that ran on a server when it ended are suspects, and one of them is mostly guilty. A suspect that runs to
 * an end later is innocent: a guilty one never does. One that was there at three ends without that is quarantined, and at
 * two if it is the only one that was at both. The records of instances merge in any order to the same result.
 */
import {type CrashUpdate, type CrashEntry} from './crash-message.ts';

/** Ends of servers after which a suspect is quarantined in any case. */
const maxCrashes = 3;
/** A suspicion that nothing confirms ends after this time. */
const suspicionMs = 120_000;
/** A quarantine ends this long after the last end of a server under the request. */
const quarantineMs = 600_000;
/** Suspects kept at a time; the oldest suspicions go first. */
const maxSuspects = 1024;
/** Ends kept for each suspect. */
const maxEventsPerSuspect = 4;

type Suspect = {
	/** When servers ended, by the name of the end. */
	readonly events: Map<string, number>;
	/** When such a request last ran to an end. */
	clearedAtMs: number;
};

export class CrashRecords {
	/**
	 * @example
	 * const records = CrashRecords.create();
	 * records.recordCrash('i-1', digests, nowMs);
	 * if (records.countCrashes(digest, nowMs) > 0) logger.warn({digest}, 'suspect');
	 */
	static create(): CrashRecords {
		return new CrashRecords();
	}

	readonly #suspects = new Map<string, Suspect>();

	private constructor() {
		// Instances are created with `create`.
	}

	get size(): number {
		return this.#suspects.size;
	}

	/** Records that a server ended under requests; returns what is new in it. */
	recordCrash(event: string, digests: Iterable<string>, nowMs: number): CrashEntry[] {
		const fresh: CrashEntry[] = [];
		for (const digest of digests) {
			if (this.#addEvent(digest, event, nowMs)) {
				fresh.push({digest, events: [{name: event, ageMs: 0}]});
			}
		}

		return fresh;
	}

	/** Records that a request ran to an end; returns what is new in it. */
	recordCompletion(digest: string, nowMs: number): CrashEntry[] {
		return this.#clear(digest, nowMs, nowMs) ? [{digest, events: [], clearedAgeMs: 0}] : [];
	}

	/** Whether requests with this digest are not to be sent to any server. */
	isQuarantined(digest: string, nowMs: number): boolean {
		const suspect = this.#suspects.get(digest);
		if (suspect === undefined) {
			return false;
		}

		const events = this.#listEvents(suspect, nowMs);
		return (
			events.length >= maxCrashes || (events.length === 2 && this.#isOnlyOne(digest, events, nowMs))
		);
	}

	/** Lists the servers that ended under requests with this digest, as far as nothing has cleared it. */
	listCrashes(digest: string, nowMs: number): readonly string[] {
		const suspect = this.#suspects.get(digest);
		return suspect === undefined ? [] : this.#listEvents(suspect, nowMs);
	}

	/** Merges what a peer knows; returns what is new in it. */
	merge({entries}: CrashUpdate, nowMs: number): CrashEntry[] {
		const fresh: CrashEntry[] = [];
		for (const {digest, events, clearedAgeMs} of entries) {
			const newEvents = events.filter(event =>
				this.#addEvent(digest, event.name, nowMs - event.ageMs),
			);
			const isCleared =
				clearedAgeMs !== undefined && this.#clear(digest, nowMs - clearedAgeMs, nowMs);
			if (newEvents.length > 0 || isCleared) {
				fresh.push({digest, events: newEvents, ...(isCleared && {clearedAgeMs})});
			}
		}

		return fresh;
	}

	/** Lists what others should know, the newest first: the suspects that were there at two ends or more. */
	list(nowMs: number, limit: number): CrashEntry[] {
		const entries: CrashEntry[] = [];
		for (const [digest, {events, clearedAtMs}] of [...this.#suspects].toReversed()) {
			if (entries.length >= limit) {
				break;
			}

			if (events.size > 1) {
				entries.push({
					digest,
					events: [...events].map(([name, atMs]) => ({name, ageMs: nowMs - atMs})),
					...(Number.isFinite(clearedAtMs) && {clearedAgeMs: nowMs - clearedAtMs}),
				});
			}
		}

		return entries;
	}

	/** Drops suspicions that nothing has confirmed for long. */
	removeExpired(nowMs: number): void {
		for (const [digest, {events}] of this.#suspects) {
			const lifetimeMs = events.size > 1 ? quarantineMs : suspicionMs;
			if (nowMs - Math.max(...events.values()) > lifetimeMs) {
				this.#suspects.delete(digest);
			}
		}
	}

	/** Adds an end to a suspect; false if it is known, or too old. */
	#addEvent(digest: string, event: string, atMs: number): boolean {
		const suspect = this.#suspects.get(digest) ?? {
			events: new Map<string, number>(),
			clearedAtMs: Number.NEGATIVE_INFINITY,
		};
		if (suspect.events.has(event)) {
			return false;
		}

		if (suspect.events.size >= maxEventsPerSuspect) {
			const [oldest] = [...suspect.events].toSorted(([, first], [, second]) => first - second);
			if (oldest![1] >= atMs) {
				return false;
			}

			suspect.events.delete(oldest![0]);
		}

		suspect.events.set(event, atMs);
		// Moved to the end: the order of the map is that of the last confirmation.
		this.#suspects.delete(digest);
		this.#suspects.set(digest, suspect);
		if (this.#suspects.size > maxSuspects) {
			this.#evict();
		}

		return true;
	}

	/** Records a completion; false if it clears nothing. */
	#clear(digest: string, atMs: number, nowMs: number): boolean {
		const suspect = this.#suspects.get(digest);
		if (suspect === undefined || atMs <= suspect.clearedAtMs) {
			return false;
		}

		const before = this.#listEvents(suspect, nowMs).length;
		suspect.clearedAtMs = atMs;
		return this.#listEvents(suspect, nowMs).length < before;
	}

	/** Makes room by dropping the oldest suspicion, of those with a single end first. */
	#evict(): void {
		for (const [digest, {events}] of this.#suspects) {
			if (events.size === 1) {
				this.#suspects.delete(digest);
				return;
			}
		}

		const [oldest] = this.#suspects.keys();
		this.#suspects.delete(oldest!);
	}

	/** Lists the ends since such a request last ran well, that are recent enough. */
	#listEvents({events, clearedAtMs}: Suspect, nowMs: number): string[] {
		const names: string[] = [];
		for (const [name, atMs] of events) {
			if (atMs > clearedAtMs && nowMs - atMs <= quarantineMs) {
				names.push(name);
			}
		}

		return names;
	}

	/** Whether no other suspect was there at the same ends. */
	#isOnlyOne(digest: string, events: readonly string[], nowMs: number): boolean {
		for (const [other, suspect] of this.#suspects) {
			if (other !== digest) {
				const names = this.#listEvents(suspect, nowMs);
				if (events.every(name => names.includes(name))) {
					return false;
				}
			}
		}

		return true;
	}
}
