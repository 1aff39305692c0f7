import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {
	decodeAnswer,
	decodeCall,
	decodeRefusal,
	encodeAnswer,
	encodeCall,
	encodeRefusal,
} from './codec.ts';
import {encodeFrame, type Frame, FrameReader, frameTypes} from './frames.ts';
import {type CallHead, type ReplyMetadata} from './messages.ts';

const metadata: ReplyMetadata = {
	load: {
		running: 3,
		waiting: 1,
		limit: 24,
		pace: {limit: {kind: 'paced', perSecond: 23.1}, fill: 0.25},
	},
	configVersion: 7,
	overloadReports: [
		{
			instance: 'one',
			service: 'shop',
			region: 'east',
			openShare: 0.5,
			repeatableShare: 1,
			ageMs: 40,
		},
	],
	costs: new Map([['shop', {slotMs: 80.5, calls: 1}]]),
	isNested: undefined,
};

const callHeads: fc.Arbitrary<CallHead> = fc.record({
	nonce: fc.string(),
	requestId: fc.string(),
	method: fc.constantFrom('GET', 'POST'),
	path: fc.string(),
	headers: fc.array(fc.string()),
	remainingMs: fc.nat(),
	service: fc.string(),
	serverId: fc.string(),
	callerService: fc.string(),
	route: fc.string(),
	isOnce: fc.boolean(),
	priority: fc.nat(),
	isWhole: fc.boolean(),
	isNested: fc.boolean(),
	isPatient: fc.boolean(),
	serverLimitPerSecond: fc.nat(),
	digest: fc.string(),
});

test('the head of a call is decoded to what was encoded', t => {
	fc.assert(
		fc.property(callHeads, head => {
			t.deepEqual(decodeCall(encodeCall(head)), head);
		}),
		{seed: 1, numRuns: 200},
	);
});

test('answers and refusals carry reply metadata unchanged', t => {
	const head = {status: 200, headers: ['A', '1'], isWhole: true, isNotRun: false, isLeaving: true};
	t.deepEqual(decodeAnswer(encodeAnswer(head, metadata)), {head, metadata});
	const nestedMetadata: ReplyMetadata = {...metadata, costs: undefined, isNested: true};
	const refusal = {reason: 'full', member: undefined} as const;
	t.deepEqual(decodeRefusal(encodeRefusal(refusal, nestedMetadata)), {
		head: refusal,
		metadata: nestedMetadata,
	});
});

test('frames are decoded whole wherever the byte stream is split', t => {
	const bytes = Buffer.concat([
		encodeFrame(frameTypes.open, 'héad', Buffer.from('body')),
		encodeFrame(frameTypes.cancel, ''),
		encodeFrame(frameTypes.data, '', Buffer.alloc(100, 1)),
	]);
	fc.assert(
		fc.property(fc.array(fc.nat(bytes.length), {maxLength: 6}), splits => {
			const reader = FrameReader.create();
			const frames: Frame[] = [];
			let start = 0;
			for (const end of [...splits.toSorted((first, second) => first - second), bytes.length]) {
				t.true(
					reader.read(bytes.subarray(start, end), frame => {
						frames.push({...frame, body: Buffer.from(frame.body)});
					}),
				);
				start = end;
			}

			t.deepEqual(
				frames.map(({type, head, body}) => [type, head, body.length]),
				[
					[frameTypes.open, 'héad', 4],
					[frameTypes.cancel, '', 0],
					[frameTypes.data, '', 100],
				],
			);
		}),
		{seed: 2, numRuns: 200},
	);
});

test('bytes that are not frames are reported as invalid', t => {
	const reader = FrameReader.create();
	const frames: Frame[] = [];
	const isValid = reader.read(Buffer.from('GET / HTTP/1.1\r\n\r\n'), frame => {
		frames.push(frame);
	});
	t.false(isValid);
	t.deepEqual(frames, []);
});
