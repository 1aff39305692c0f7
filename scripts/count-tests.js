/**
 * Prints "PASSED FAILED RED" for the TAP log of a test run. RED is the number of failed tests that are
 * listed in KNOWN-RED.txt, where each entry starts with a line `test: TITLE`; FAILED leaves them out.
 */
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const [logFile] = process.argv.slice(2);
const knownRedFile = 'KNOWN-RED.txt';

/** Reads the titles of the tests listed in KNOWN-RED.txt. */
function readKnownRedTitles() {
	const titles = new Set();
	if (!existsSync(knownRedFile)) {
		return titles;
	}

	for (const line of readFileSync(knownRedFile, 'utf8').split('\n')) {
		if (line.startsWith('test: ')) {
			titles.add(line.slice('test: '.length).trim());
		}
	}

	return titles;
}

const knownRed = readKnownRedTitles();
let passed = 0;
let failed = 0;
let red = 0;
for (const line of readFileSync(logFile, 'utf8').split('\n')) {
	if (/^ok \d+/v.test(line) && !line.includes('# SKIP')) {
		passed++;
		continue;
	}

	const failure = /^not ok \d+ - (.*)$/v.exec(line);
	if (!failure) {
		continue;
	}

	if (knownRed.has(failure[1].trim())) {
		red++;
	} else {
		failed++;
	}
}

process.stdout.write(`${passed} ${failed} ${red}\n`);
