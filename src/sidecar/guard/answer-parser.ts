/**
 * Parser of backend servers' answers that rejects chunk sizes that are not hexadecimal numbers.
 *
 * http-parser-js reads such a size as 0, the end of the body, so that a garbled answer would look complete.
 */
import {HTTPParser} from 'http-parser-js';

const chunkHeadPattern = /^[\da-f]{1,12}[\t ]*(?:;.*)?$/iv;

/** The parser's state handlers that are not part of its published types. */
type ChunkHeadReader = {
	consumeLine(): string | undefined;
	BODY_CHUNKHEAD(): void;
};

/**
 * Creates a parser of answers.
 *
 * @example
 * const parser = createAnswerParser();
 * const result = parser.execute(chunk); // an Error if the bytes are not an answer
 */
export function createAnswerParser(): InstanceType<typeof HTTPParser> {
	const parser = new HTTPParser(HTTPParser.RESPONSE);
	const reader = parser as unknown as ChunkHeadReader;
	const consumeLine = reader.consumeLine.bind(parser);
	const readChunkHead = reader.BODY_CHUNKHEAD.bind(parser);
	reader.BODY_CHUNKHEAD = () => {
		reader.consumeLine = () => {
			const line = consumeLine();
			if (line !== undefined && !chunkHeadPattern.test(line)) {
				throw new Error(`invalid chunk size ${JSON.stringify(line.slice(0, 40))}`);
			}

			return line;
		};

		try {
			readChunkHead();
		} finally {
			reader.consumeLine = consumeLine;
		}
	};

	return parser;
}
