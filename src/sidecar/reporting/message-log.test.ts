/** Guards against a sender that fills the log with messages that can't be used. */
import test from 'ava';
import {type Logger} from '../../reporting/logger.ts';
import {MessageLog} from './message-log.ts';

test('ignored messages are all counted, and a few of them logged', t => {
	const lines: Array<{readonly fields: Record<string, unknown>; readonly text: string}> = [];
	let nowMs = 0;
	const logger = {
		warn(fields: Record<string, unknown>, text: string) {
			lines.push({fields, text});
		},
	} as unknown as Logger;
	const log = MessageLog.create(logger, () => nowMs);
	const message = {source: 'control', cause: 'undecodable', sender: '127.0.0.1:1'} as const;
	for (let index = 0; index < 1000; index++) {
		log.recordIgnored({...message, reason: 'x'.repeat(10_000)});
	}

	t.is(log.counts.get('control')?.get('undecodable'), 1000);
	t.is(lines.length, 5);
	t.is(String(lines[0]!.fields.reason).length, 300);
	log.recordIgnored({...message, source: 'link', reason: 'another source'});
	t.is(lines.length, 6);
	nowMs = 10_000;
	log.recordIgnored({...message, reason: 'later'});
	t.deepEqual(lines[6]!.fields, {source: 'control', dropped: 995});
	t.is(lines.length, 8);
});
