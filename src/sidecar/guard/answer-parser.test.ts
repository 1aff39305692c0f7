/** CONFIG: one garbled head of an answer stopped the event loop for seconds, and nobody was answered. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import {HTTPParser} from 'http-parser-js';
import {createAnswerParser} from './answer-parser.ts';

/** Less than the parser's own limit for a head. */
const lineBytes = 75_000;
/** A head takes about a millisecond; with a pattern that backtracks it took 10 s. */
const maxMs = 500;

const garbledLines: ReadonlyArray<readonly [name: string, line: string]> = [
	['blanks between letters', `X: a${' '.repeat(lineBytes)}b`],
	['tabs between letters', `X: a${'\t'.repeat(lineBytes)}b`],
	['blanks and tabs by turns', `X: a${' \t'.repeat(lineBytes / 2)}b`],
	['blanks before a NUL', `X:${' '.repeat(lineBytes)}\0`],
	['blanks without a colon', `X${' '.repeat(lineBytes)}`],
	['a folded line', ` ${' '.repeat(lineBytes)}x`],
	['colons', ':'.repeat(lineBytes)],
	['colons after a name', `X${':'.repeat(lineBytes)}`],
	['a long name', 'n'.repeat(lineBytes)],
	['digits of a length', `Content-Length: ${'1'.repeat(lineBytes)}`],
	['blanks in a length', `Content-Length: 1${' '.repeat(lineBytes)}1`],
	['beginnings of status lines', `X: ${'HTTP/1.1 20'.repeat(lineBytes / 11)}`],
	['many names', 'X: y\r\n'.repeat(lineBytes / 6)],
];

for (const [name, line] of garbledLines) {
	test(`a head with ${name} is read in linear time`, t => {
		const bytes = Buffer.from(`HTTP/1.1 200 OK\r\n${line}\r\n`, 'latin1');
		const startedAtMs = performance.now();
		createAnswerParser().execute(bytes);
		t.true(performance.now() - startedAtMs < maxMs);
	});

	test(`a trailer with ${name} is read in linear time`, t => {
		const head = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n';
		const bytes = Buffer.from(`${head}${line}\r\n`, 'latin1');
		const startedAtMs = performance.now();
		createAnswerParser().execute(bytes);
		t.true(performance.now() - startedAtMs < maxMs);
	});
}

test('blanks around a value are no part of it', t => {
	const headers: string[][] = [];
	const parser = createAnswerParser();
	parser[HTTPParser.kOnHeadersComplete] = info => {
		headers.push(info.headers);
	};

	parser.execute(Buffer.from('HTTP/1.1 200 OK\r\nX: \t a b \t\r\nY:\r\nZ:c\r\n\r\n'));
	t.deepEqual(headers, [['X', 'a b', 'Y', '', 'Z', 'c']]);
});
