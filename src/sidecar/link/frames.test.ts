/** Frames are read whole from any pieces, at a cost that grows with their bytes. */
import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import test from 'ava';
import {encodeFrame, type Frame, FrameReader, frameTypes} from './frames.ts';

const mebibyte = 1024 * 1024;

test('frames are the same however their bytes are split', t => {
	const frame = fc.record({
		type: fc.constantFrom(...Object.values(frameTypes)),
		head: fc.string({maxLength: 50}),
		body: fc.uint8Array({maxLength: 300}),
	});
	fc.assert(
		fc.property(
			fc.array(frame, {maxLength: 6}),
			fc.array(fc.integer({min: 1, max: 200})),
			(frames, sizes) => {
				const bytes = Buffer.concat(
					frames.map(({type, head, body}) => encodeFrame(type, head, body)),
				);
				const reader = FrameReader.create();
				const received: typeof frames = [];
				for (let start = 0, piece = 0; start < bytes.length; piece++) {
					const size = sizes[piece % Math.max(1, sizes.length)] ?? bytes.length;
					const isValid = reader.read(bytes.subarray(start, start + size), each => {
						received.push({...each, body: Uint8Array.from(each.body)});
					});
					t.true(isValid);
					start += size;
				}

				t.deepEqual(received, frames);
			},
		),
	);
});

// CONFIG: the time for a frame grew with the square of its length, and the event loop stood still meanwhile.
test('a long frame in small pieces is copied once', t => {
	const copied = {bytes: 0};
	const {concat} = Buffer;
	Buffer.concat = (list, length) => {
		const whole = concat(list, length);
		copied.bytes += whole.length;
		return whole;
	};

	t.teardown(() => {
		Buffer.concat = concat;
	});
	const bytes = encodeFrame(frameTypes.data, '', Buffer.alloc(3 * mebibyte));
	const reader = FrameReader.create();
	const frames: number[] = [];
	const handleFrame = ({body}: Frame) => {
		frames.push(body.length);
	};

	for (let start = 0; start < bytes.length; start += 1024) {
		reader.read(bytes.subarray(start, start + 1024), handleFrame);
	}

	t.deepEqual(frames, [3 * mebibyte]);
	t.true(copied.bytes <= 2 * bytes.length, `${copied.bytes} bytes were copied`);
});
