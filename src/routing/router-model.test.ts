import test from 'ava';
import fc from 'fast-check';
import {importance, type Importance} from '../call/types.ts';
import {type Member, type MemberState} from '../membership/types.ts';
import {createMember, createPolicy, createRouter, request} from './fixtures.ts';
import {type ServiceRouter} from './service-router.ts';
import {type AttemptResult} from './types.ts';

const localities = [
	{dataCentre: 'est-a', region: 'qc-est'},
	{dataCentre: 'est-a', region: 'qc-est'},
	{dataCentre: 'est-b', region: 'qc-est'},
	{dataCentre: 'ouest-a', region: 'qc-ouest'},
] as const;
const states: readonly MemberState[] = ['cold', 'serving', 'leaving', 'suspect', 'dead'];
const attemptKinds: ReadonlyArray<AttemptResult['kind']> = [
	'answered',
	'refused',
	'failed',
	'unreachable',
	'cancelled',
];

/** Test oracle: derives the selectable servers and the ejection limit from the members alone. */
type Oracle = {members: Member[]; nowMs: number; incarnation: number};

function isUsable(member: Member): boolean {
	return member.state !== 'leaving' && member.state !== 'dead';
}

function assertBounds(model: Oracle, real: ServiceRouter): void {
	const ownRegion = model.members.filter(member => isUsable(member) && member.region === 'qc-est');
	const otherRegion = model.members.filter(
		member => isUsable(member) && member.region !== 'qc-est',
	);
	const maxEjected = Math.floor(ownRegion.length * 0.5) + Math.floor(otherRegion.length * 0.5);
	if (real.countEjected('catalogue') > maxEjected) {
		throw new Error(`${real.countEjected('catalogue')} ejected, but at most ${maxEjected} may be`);
	}
}

class MembersCommand implements fc.Command<Oracle, ServiceRouter> {
	readonly picks: readonly number[];

	constructor(picks: readonly number[]) {
		this.picks = picks;
	}

	check = () => true;

	run(model: Oracle, real: ServiceRouter): void {
		model.incarnation += 1;
		model.members = [];
		for (const [index, pick] of this.picks.entries()) {
			const state = states[pick];
			if (state === undefined) {
				continue;
			}

			const locality = localities[index % localities.length]!;
			model.members.push(
				createMember(`s${index}`, {...locality, state, incarnation: model.incarnation}),
			);
		}

		real.setMembers(model.members, model.nowMs);
		assertBounds(model, real);
	}

	toString = () => `members(${this.picks.join(',')})`;
}

type CallShape = {
	readonly level: Importance;
	readonly excludedIndex: number;
	readonly kind: AttemptResult['kind'];
	readonly latencyMs: number;
	readonly waitMs: number;
};

class CallCommand implements fc.Command<Oracle, ServiceRouter> {
	readonly shape: CallShape;

	constructor(shape: CallShape) {
		this.shape = shape;
	}

	check = () => true;

	run(model: Oracle, real: ServiceRouter): void {
		const {level, excludedIndex, kind, latencyMs, waitMs} = this.shape;
		model.nowMs += waitMs;
		const excluded = new Set([`s${excludedIndex}`]);
		const choice = real.choose({...request, importance: level, excluded}, model.nowMs);
		const candidates = model.members.filter(
			member => isUsable(member) && !excluded.has(member.server),
		);
		if (choice.kind === 'refused') {
			if (candidates.length > 0) {
				throw new Error(
					`refused with ${choice.reason} although ${candidates.length} servers are available`,
				);
			}

			return;
		}

		if (!candidates.includes(choice.member)) {
			throw new Error(`${choice.member.server} was selected but is not usable or is excluded`);
		}

		real.recordStart(choice.member, model.nowMs);
		model.nowMs += latencyMs;
		real.recordResult(
			{member: choice.member, callName: 'status', kind, latencyMs, bytes: 10},
			model.nowMs,
		);
		assertBounds(model, real);
	}

	toString = () => `call(${JSON.stringify(this.shape)})`;
}

test('the router agrees with an oracle on selectable servers and the ejection limit', t => {
	const commands = fc.commands(
		[
			fc
				.array(fc.integer({min: 0, max: 5}), {minLength: 0, maxLength: 8})
				.map(picks => new MembersCommand(picks)),
			fc
				.record({
					level: fc.constantFrom(...Object.values(importance)),
					excludedIndex: fc.integer({min: 0, max: 9}),
					kind: fc.constantFrom(...attemptKinds),
					latencyMs: fc.constantFrom(1, 10, 200),
					waitMs: fc.constantFrom(0, 10, 60, 3000),
				})
				.map(shape => new CallCommand(shape)),
		],
		{maxCommands: 150, size: 'max'},
	);
	const policy = createPolicy({otherRegion: true, maxEjectedShare: 0.5});
	const setup = () => {
		const members = localities.map((locality, index) => createMember(`s${index}`, locality));
		const model: Oracle = {members, nowMs: 0, incarnation: 0};
		return {model, real: createRouter(members, policy)};
	};

	t.notThrows(() => {
		fc.assert(
			fc.property(commands, list => {
				fc.modelRun(setup, list);
			}),
			{seed: 45, numRuns: 200},
		);
	});
});
