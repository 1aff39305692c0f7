/** Test runner settings: tests are next to the sources and run directly from TypeScript through tsx. */
const avaConfig = {
	files: [
		'src/**/*.test.ts',
		'platform/**/*.test.ts',
		'stand-ins/**/*.test.ts',
		'bench/**/*.test.ts',
		'scripts/**/*.test.ts',
	],
	extensions: {ts: 'module'},
	nodeArguments: ['--import=tsx'],
	workerThreads: false,
	timeout: '3m',
	concurrency: 6,
};

export default avaConfig;
