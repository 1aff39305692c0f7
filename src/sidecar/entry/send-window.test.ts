/** What is on its way of a body stays bounded, whatever a peer reports. */
import test from 'ava';
import {SendWindow, sendWindowBytes} from './send-window.ts';

test('a window closes when it is full and opens when the server has taken a part', t => {
	const window = SendWindow.create();
	t.true(window.recordSent(sendWindowBytes - 1));
	t.false(window.recordSent(1));
	t.false(window.recordTaken(0));
	t.true(window.recordTaken(1));
});

test('a report of more than was sent, or of less than before, is not believed', t => {
	const window = SendWindow.create();
	window.recordSent(sendWindowBytes);
	t.true(window.recordTaken(10 * sendWindowBytes));
	t.false(window.recordSent(sendWindowBytes));
	t.true(window.recordTaken(sendWindowBytes + 1));
	t.true(window.recordTaken(0));
});
