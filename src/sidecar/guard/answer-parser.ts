/**
 * Parser of backend servers' answers that rejects what is no valid answer.
 *
 * http-parser-js passes over lines that it can't read, and takes a length that is no number for the end of the body: a
 * garbled answer would look complete, and the rest of one head could become part of the next.
 */
import {HTTPParser} from 'http-parser-js';

const chunkHeadPattern = /^[\da-f]{1,12}[\t ]*(?:;.*)?$/iv;
/** Name of a field (RFC 9110, section 5.6.2). */
const namePattern = /^[\w!#$%\u0026'*+.^`\|~\-]+$/v;
/** What the value of a field can't hold. */
const invalidValuePattern = /[\0\r\n]/v;
const lengthPattern = /^\d{1,15}$/v;
/** A status line within a head: the bytes before it belong to another answer. */
const statusLinePattern = /HTTP\/\d\.\d \d{3}/v;

/** The parser's state and handlers that are not part of its published types. */
type ParserInternals = {
	readonly offset: number;
	readonly end: number;
	readonly info: {readonly statusMessage?: string};
	consumeLine(): string | undefined;
	parseHeader(line: string, headers: string[]): void;
	RESPONSE_LINE(): void;
	BODY_CHUNKHEAD(): void;
};

export type ParserChunk = Parameters<InstanceType<typeof HTTPParser>['execute']>[0];

/**
 * Creates a parser of answers.
 *
 * @example
 * const parser = createAnswerParser();
 * const result = parser.execute(chunk); // an Error if the bytes are not an answer
 */
export function createAnswerParser(): InstanceType<typeof HTTPParser> {
	const parser = new HTTPParser(HTTPParser.RESPONSE);
	const internals = parser as unknown as ParserInternals;
	const consumeLine = internals.consumeLine.bind(parser);
	const readChunkHead = internals.BODY_CHUNKHEAD.bind(parser);
	const readStatusLine = internals.RESPONSE_LINE.bind(parser);
	internals.BODY_CHUNKHEAD = () => {
		internals.consumeLine = () => {
			const line = consumeLine();
			if (line !== undefined && !chunkHeadPattern.test(line)) {
				throw new Error(`invalid chunk size ${formatLine(line)}`);
			}

			return line;
		};

		try {
			readChunkHead();
		} finally {
			internals.consumeLine = consumeLine;
		}
	};

	internals.RESPONSE_LINE = () => {
		readStatusLine();
		const {statusMessage = ''} = internals.info;
		if (statusLinePattern.test(statusMessage)) {
			throw new Error(`two status lines in one: ${formatLine(statusMessage)}`);
		}
	};

	internals.parseHeader = (line, headers) => {
		headers.push(...parseField(line));
	};

	// Trailers are checked like the head and not forwarded.
	parser[HTTPParser.kOnHeaders] = () => undefined;
	return parser;
}

/** Counts the bytes after the message that has just ended, which belong to no request. */
export function countExcessBytes(parser: InstanceType<typeof HTTPParser>): number {
	const {offset, end} = parser as unknown as ParserInternals;
	return end - offset;
}

/** @throws {Error} when the line is no valid field, or can't frame a body */
function parseField(line: string): [name: string, value: string] {
	const colon = line.indexOf(':');
	const name = line.slice(0, Math.max(0, colon));
	if (!namePattern.test(name) || invalidValuePattern.test(line)) {
		throw new Error(`invalid header line ${formatLine(line)}`);
	}

	const value = removeBlanks(line.slice(colon + 1));

	const lowerName = name.toLowerCase();
	const isInvalid =
		statusLinePattern.test(value) ||
		(lowerName === 'content-length' && !lengthPattern.test(value)) ||
		(lowerName === 'transfer-encoding' && value.toLowerCase() !== 'chunked');
	if (isInvalid) {
		throw new Error(`invalid value in header line ${formatLine(line)}`);
	}

	return [name, value];
}

/** Removes spaces and tabs at both ends. A pattern for these would take time that grows with the square of their number. */
function removeBlanks(text: string): string {
	let start = 0;
	let end = text.length;
	while (start < end && isBlank(text[start]!)) {
		start++;
	}

	while (end > start && isBlank(text[end - 1]!)) {
		end--;
	}

	return text.slice(start, end);
}

function isBlank(character: string): boolean {
	return character === ' ' || character === '\t';
}

function formatLine(line: string): string {
	return JSON.stringify(line.slice(0, 40));
}
