import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {createTestHead} from '../guard/fixtures.ts';
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

/** Texts that stay within their line of a head. */
const headTexts = fc.string().map(text => text.replaceAll(/[\0\r\n]/gv, ''));
const headTokens = fc.constantFrom('X-A', 'accept', "!#$%&'*+-.^_`|~", '1');

const callHeads: fc.Arbitrary<CallHead> = fc.record({
	nonce: fc.string(),
	requestId: fc.string(),
	method: fc.constantFrom('GET', 'POST'),
	path: headTexts.map(text => `/${text.replaceAll(' ', '')}`),
	headers: fc.array(fc.tuple(headTokens, headTexts)).map(pairs => pairs.flat()),
	remainingMs: fc.nat(),
	service: fc.string(),
	serverId: headTexts,
	callerService: headTexts,
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

test('a priority may be any number that the configuration allows', t => {
	const head = createTestHead('one', {priority: 0.5});
	t.is(decodeCall(encodeCall(head)).priority, 0.5);
});

// Odd entries: a head with a value of another type failed later, where nothing caught it.
test('a head with a value of the wrong type or out of range is rejected', t => {
	const encoded = JSON.parse(encodeCall(createTestHead('one'))) as unknown[];
	for (const [index, value] of [
		[0, 7],
		[4, undefined],
		[4, ['Host', 1]],
		[5, 1e300],
		[5, -1],
		[10, 'x'],
		[12, undefined],
	] as const) {
		const odd = encoded.with(index, value);
		t.throws(() => decodeCall(JSON.stringify(odd)), {instanceOf: TypeError});
	}

	const oddMetadata = [1, 0, 24, 7, [['one', 'shop', 'east', 2, 1, 40]], 0, 2, 0, 0];
	const answer = JSON.stringify([200, [], 1, 0, oddMetadata]);
	t.throws(() => decodeAnswer(answer), {instanceOf: TypeError});
});

// UNASKED: a text from a peer that ends its line of a head would begin another header, or another request.
test('a request with a text that would end a line of its head is rejected', t => {
	const smuggled = 'a\r\nX-Odd: 1';
	const heads: ReadonlyArray<Partial<CallHead>> = [
		{method: `GET / HTTP/1.1\r\n\r\nGET`},
		{method: ''},
		{path: '/ HTTP/1.1\r\nX-Odd:1'},
		{path: '/a b'},
		{path: ''},
		{serverId: smuggled},
		{callerService: smuggled},
		{headers: ['X-A', smuggled]},
		{headers: [smuggled, 'a']},
		{headers: ['X-A: b\r\nX-Odd', '1']},
		{headers: ['X-A']},
	];
	for (const head of heads) {
		t.throws(() => decodeCall(encodeCall(createTestHead('a', head))), {instanceOf: TypeError});
	}

	t.notThrows(() => decodeCall(encodeCall(createTestHead('a', {headers: ['X-A', 'ü b\t']}))));
});
