/** Bundles entry files with the options that all binaries share; bundles start faster and take less memory. */
import path from 'node:path';
import {build, type BuildOptions} from 'esbuild';

export const projectRoot = path.resolve(import.meta.dirname, '..');

// Packages written for CommonJS call `require`, which an ES module has to define for itself.
const requireBanner =
	"import {createRequire as __createRequire} from 'node:module';const require=__createRequire(import.meta.url);";

/**
 * Bundles entry files into a folder.
 *
 * @param more - options that differ from those of the other binaries
 * @example
 * await writeBundles(['src/bin/tool.ts'], 'dist/bin');
 */
export async function writeBundles(
	entryPoints: string[],
	outdir: string,
	more: BuildOptions = {},
): Promise<void> {
	await build({
		entryPoints,
		outdir,
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
		...more,
	});
}
