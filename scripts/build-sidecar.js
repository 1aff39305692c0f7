/** Bundles the sidecar into target/, where the users' platform starts it. */
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const projectRoot = path.resolve(import.meta.dirname, '..');

// Packages written for CommonJS call `require`, which an ES module has to define for itself.
const requireBanner =
	"import {createRequire as __createRequire} from 'node:module';const require=__createRequire(import.meta.url);";

await build({
	entryPoints: [path.join(projectRoot, 'src', 'bin', 'primrosevalve-sidecar.ts')],
	outdir: path.join(projectRoot, 'target'),
	outExtension: {'.js': '.mjs'},
	bundle: true,
	splitting: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	tsconfigRaw: {compilerOptions: {verbatimModuleSyntax: false, target: 'es2024'}},
	legalComments: 'none',
	banner: {js: requireBanner},
	external: ['dtrace-provider', 'mv', 'source-map-support'],
	logLevel: 'warning',
});
process.stdout.write('built target\n');
