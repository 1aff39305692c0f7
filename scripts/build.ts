/** Bundles each binary into one file under dist/bin, which keeps start-up time and memory low. */
import {readdir, rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

const projectRoot = path.resolve(import.meta.dirname, '..');
const binFolder = path.join(projectRoot, 'src', 'bin');

// Packages written for CommonJS call `require`, which an ES module has to define for itself.
const requireBanner =
	"import {createRequire as __createRequire} from 'node:module';const require=__createRequire(import.meta.url);";

/** Lists the TypeScript entry files of the binaries. */
async function listEntryFiles(): Promise<string[]> {
	const files = await readdir(binFolder);
	const entries: string[] = [];
	for (const file of files) {
		if (!file.endsWith('.ts') || file.endsWith('.test.ts')) {
			continue;
		}

		entries.push(path.join(binFolder, file));
	}

	return entries;
}

await rm(path.join(projectRoot, 'dist'), {recursive: true, force: true});
await build({
	entryPoints: await listEntryFiles(),
	outdir: path.join(projectRoot, 'dist', 'bin'),
	bundle: true,
	splitting: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	// Imports of types alone are dropped, so that the daemon doesn't load the policy's schema.
	tsconfigRaw: {compilerOptions: {verbatimModuleSyntax: false, target: 'es2024'}},
	legalComments: 'none',
	sourcemap: false,
	banner: {js: requireBanner},
	external: ['dtrace-provider', 'mv', 'source-map-support'],
	logLevel: 'warning',
});
process.stdout.write('built dist/bin\n');
