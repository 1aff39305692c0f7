/** Linter settings: XO's rules, with layout left to Prettier. */
const xoConfig = [
	{
		ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**', 'docs/generated/**'],
	},
	{
		prettier: 'compat',
		rules: {
			// Customary short names (ctx, req, args, env) are welcome here.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/name-replacements': 'off',
			// The formatter decides the layout of empty constructor bodies.
			'@stylistic/curly-newline': 'off',
			// Each task writes its own exhaustive switch; the default branch would hide a missing case.
			'default-case': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{considerDefaultExhaustiveForUnions: true},
			],
			// Domain names (request id, retry allowance) decide the casing, also in header tables.
			'@typescript-eslint/naming-convention': 'off',
			// Decoders check a value first and then narrow it by a cast.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Clipanion and Zod have functions with upper-case names.
			'new-cap': ['error', {capIsNew: false}],
			// Options and messages are typed objects, but aggregates often need time and randomness besides.
			'max-params': ['error', {max: 5}],
			// Waiting in turn is what retry and drain loops do.
			'no-await-in-loop': 'off',
		},
	},
];

export default xoConfig;
