/** Test runner settings: specs stand beside the sources and run as TypeScript. */
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
