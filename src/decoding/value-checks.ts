/** Checks of decoded values: what another process wrote is used only if its type and its range are right. */
import net from 'node:net';

/** Longest name in a row or message; the store's keys are shorter. */
const maxNameLength = 400;
/** Latest time that counts as one: the end of the year 9999, in Unix milliseconds. */
const maxTimeMs = 253_402_300_799_999;
/** How far an epoch may be ahead of this machine's clock, which may be wrong by decades. */
const maxEpochAheadMs = 100 * 365 * 24 * 3_600_000;
const maxPort = 65_535;
/** More slots than a server can have. */
const maxSlots = 1_000_000;
/** Longest duration that a timer can wait for. */
export const maxDurationMs = 2_147_483_647;

export type UnknownFields<T> = Partial<Record<keyof T, unknown>>;

/**
 * Whether a value is an object whose fields can be read.
 *
 * @example
 * isRecord(JSON.parse('[1]')); // true; each field is then checked
 */
export function isRecord(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

/** Whether a value is a text that is short enough to be a name. */
export function isName(value: unknown): value is string {
	return typeof value === 'string' && value.length <= maxNameLength;
}

/** Whether a text can stand in the line of a head, as a value, without ending it. */
export function isHeadText(text: string): boolean {
	return !/[\0\r\n]/v.test(text);
}

/** Whether a text is the name of a method or a header (RFC 9110, section 5.6.2). */
export function isHeadToken(text: string): boolean {
	return /^[!#$%\u0026'*+\-.^_`\|~0-9A-Za-z]+$/v.test(text);
}

/** Whether a text can stand between the method and the version of a request. */
export function isRequestTarget(text: string): boolean {
	return text !== '' && isHeadText(text) && !text.includes(' ');
}

/** Whether a list holds the names and the values of headers in turn. */
export function isHeaderList(values: readonly string[]): boolean {
	return (
		values.length % 2 === 0 &&
		values.every((text, index) => (index % 2 === 0 ? isHeadToken(text) : isHeadText(text)))
	);
}

/** Whether a value is a whole number from 0 that is exact, such as a version. */
export function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Whether a value is the version of a configuration; -1 stands for none. */
export function isConfigVersion(value: unknown): value is number {
	return value === -1 || isCount(value);
}

/** Whether a value is a number from 0 to a maximum. */
export function isNumberUpTo(value: unknown, max: number): value is number {
	return typeof value === 'number' && value >= 0 && value <= max;
}

export function isDurationMs(value: unknown): value is number {
	return isNumberUpTo(value, maxDurationMs);
}

export function isSlotCount(value: unknown): value is number {
	return isCount(value) && value <= maxSlots;
}

/**
 * Whether a value is an epoch. Epochs follow the system clock; one near the end of the range could not be followed by
 * another.
 */
export function isEpoch(value: unknown): value is number {
	return isCount(value) && value <= Date.now() + maxEpochAheadMs;
}

/** Whether a value is a time in Unix milliseconds. */
export function isTimeMs(value: unknown): value is number {
	return isCount(value) && value <= maxTimeMs;
}

export function isOptionalTimeMs(value: unknown): value is number | undefined {
	return value === undefined || isTimeMs(value);
}

/** Whether a value is the address of a socket, by IP number. */
export function isSocketAddress(
	value: unknown,
): value is {readonly host: string; readonly port: number} {
	if (!isRecord(value)) {
		return false;
	}

	const {host, port} = value;
	return typeof host === 'string' && net.isIP(host) !== 0 && isPort(port);
}

export function isPort(value: unknown): value is number {
	return isCount(value) && value > 0 && value <= maxPort;
}
