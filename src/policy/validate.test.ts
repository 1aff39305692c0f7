import test from 'ava';
import {formatProblem} from './errors.ts';
import {PolicyMatcher} from './match.ts';
import {parsePolicy, validatePolicy} from './validate.ts';

function listLines(document: unknown): string[] {
	const {fault} = parsePolicy(JSON.stringify(document))._unsafeUnwrapErr();
	return fault.kind === 'invalid' ? fault.problems.map(problem => formatProblem(problem)) : [];
}

const cases: Array<{name: string; document: unknown; line: RegExp}> = [
	{
		name: 'schema',
		document: {services: [{name: 'a', slotsPerServer: 0}]},
		line: /^services\[0\]\.slotsPerServer: 0: /v,
	},
	{
		name: 'unknown key',
		document: {services: [{name: 'a', slot: 1}]},
		line: /^services\[0\]: .*slot/v,
	},
	{name: 'missing', document: {}, line: /^services: missing: /v},
	{
		name: 'duplicate service',
		document: {services: [{name: 'a'}, {name: 'a'}]},
		line: /^services\[1\]\.name: "a": /v,
	},
	{
		name: 'unknown need',
		document: {services: [{name: 'a', calls: [{name: 'x', needs: ['b']}]}]},
		line: /^services\[0\]\.calls\[0\]\.needs\[0\]: "b": no service/v,
	},
	{
		name: 'cycle',
		document: {
			services: [
				{name: 'a', calls: [{name: 'x', needs: ['b']}]},
				{name: 'b', calls: [{name: 'y', needs: ['a']}]},
			],
		},
		line: /^services\[0\]\.calls: "a > b > a": /v,
	},
	{
		name: 'once and idempotent',
		document: {services: [{name: 'a', calls: [{name: 'x', once: true, idempotent: true}]}]},
		line: /^services\[0\]\.calls\[0\]\.idempotent: true: /v,
	},
	{
		name: 'hedged without idempotent',
		document: {services: [{name: 'a', calls: [{name: 'x', hedge: true}]}]},
		line: /^services\[0\]\.calls\[0\]\.hedge: true: /v,
	},
	{
		name: 'objective',
		document: {services: [{name: 'a'}], objectives: [{service: 'b', caller: 'c'}]},
		line: /^objectives\[0\]\.service: "b": /v,
	},
];
for (const {name, document, line} of cases) {
	test(`a validation problem names the field's path: ${name}`, t => {
		const lines = listLines(document);
		t.truthy(lines.find(text => line.test(text)));
	});
}

test('text that is not JSON is reported as invalid', t => {
	t.is(parsePolicy('{')._unsafeUnwrapErr().kind, 'invalid');
});

test('the matcher finds the first rule, the default rule and callers', t => {
	const tokenSha256 = 'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad';
	const policy = validatePolicy({
		services: [
			{
				name: 'commandes',
				calls: [
					{name: 'read', method: 'GET', path: '/orders/:id'},
					{name: 'order', method: 'POST', path: '/orders/*', once: true},
				],
			},
		],
		callers: [{name: 'floor', tokenSha256}],
	})._unsafeUnwrap();
	const matcher = PolicyMatcher.create(policy);
	t.is(matcher.findCallRule('commandes', 'GET', '/orders/1?x=/y').name, 'read');
	t.is(matcher.findCallRule('commandes', 'GET', '/orders/1/lines').name, '*');
	t.is(matcher.findCallRule('commandes', 'POST', '/orders').name, 'order');
	t.is(matcher.findCallRule('commandes', 'POST', '/orders/a/b').name, 'order');
	t.is(matcher.findCallRule('none', 'GET', '/').name, '*');
	t.is(matcher.findService('none').slotsPerServer, 10);
	t.is(matcher.findCallerByToken('abc')?.name, 'floor');
	t.is(matcher.findCaller('00'), undefined);
});
