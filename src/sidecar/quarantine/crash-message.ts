/** Messages in which sidecars tell each other which requests ran on servers that ended, as JSON. */
import {isDigest} from './request-digest.ts';

/** An end of a server; the name is that of the server and its start. */
export type CrashEvent = {readonly name: string; readonly ageMs: number};

/** What is known of the requests with one digest. */
export type CrashEntry = {
	readonly digest: string;
	readonly events: readonly CrashEvent[];
	/** How long ago such a request last ran to an end. */
	readonly clearedAgeMs?: number | undefined;
};

export type CrashUpdate = {readonly entries: readonly CrashEntry[]};

/** Entries of one message; a longer one is not believed. */
export const maxEntries = 128;
const maxEvents = 8;
const maxNameLength = 120;
/** Nothing older is of use. */
const maxAgeMs = 3_600_000;
const messagePrefix = '{"crashEntries":';

export function encodeCrashUpdate({entries}: CrashUpdate): string {
	const rounded = entries.slice(0, maxEntries).map(({digest, events, clearedAgeMs}) => ({
		digest,
		events: events.map(({name, ageMs}) => ({name, ageMs: Math.round(ageMs)})),
		...(clearedAgeMs !== undefined && {clearedAgeMs: Math.round(clearedAgeMs)}),
	}));
	return JSON.stringify({crashEntries: rounded});
}

/** Whether a message between peers is about crashes; `decodeCrashUpdate` checks the rest of it. */
export function isCrashUpdate(text: string): boolean {
	return text.startsWith(messagePrefix);
}

/**
 * Decodes a message about crashes.
 *
 * @throws {TypeError} when the text is not a valid message; it must then change nothing
 */
export function decodeCrashUpdate(text: string): CrashUpdate {
	const {crashEntries: entries} = JSON.parse(text) as {crashEntries: unknown};
	if (!isCrashEntries(entries)) {
		throw new TypeError(`invalid message about crashes of ${text.length} characters`);
	}

	return {entries};
}

/** Whether a decoded value is a list of entries, within the bounds of one message. */
function isCrashEntries(value: unknown): value is CrashEntry[] {
	return (
		Array.isArray(value) && value.length <= maxEntries && value.every(each => isCrashEntry(each))
	);
}

function isCrashEntry(value: unknown): value is CrashEntry {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {digest, events, clearedAgeMs} = value as Partial<Record<keyof CrashEntry, unknown>>;
	return (
		isDigest(digest) &&
		Array.isArray(events) &&
		events.length <= maxEvents &&
		events.every(each => isCrashEvent(each)) &&
		(clearedAgeMs === undefined || isAge(clearedAgeMs))
	);
}

function isCrashEvent(value: unknown): value is CrashEvent {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const {name, ageMs} = value as Partial<Record<keyof CrashEvent, unknown>>;
	return typeof name === 'string' && name.length <= maxNameLength && isAge(ageMs);
}

function isAge(value: unknown): value is number {
	return typeof value === 'number' && value >= 0 && value <= maxAgeMs;
}
