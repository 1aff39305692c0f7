/** Linter settings: the rules of XO, with formatting left to Prettier. */
const xoConfig = [
	{
		ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'docs/generated/**'],
	},
	{
		prettier: 'compat',
		rules: {
			// Common abbreviations (ctx, req, args, env) are allowed.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// The formatter decides the layout of empty constructor bodies.
			'@stylistic/curly-newline': 'off',
			// Switches over a union list every case; a default branch would hide a missing one.
			'default-case': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{considerDefaultExhaustiveForUnions: true},
			],
			// Names of the domain and the protocol (request id, retry allowance) decide the casing, also in header tables.
			'@typescript-eslint/naming-convention': 'off',
			// Decoders validate a value first and then narrow its type by an assertion.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Clipanion and Zod export functions with capitalized names.
			'new-cap': ['error', {capIsNew: false}],
			// Besides their typed options, many functions take the time and a random generator as parameters.
			'max-params': ['error', {max: 5}],
			// Retry and drain loops await each step in sequence.
			'no-await-in-loop': 'off',
		},
	},
];

export default xoConfig;
