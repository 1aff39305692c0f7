/** Bundles entry files with the options shared by all binaries. Bundles start faster and need less memory. */
import path from 'node:path';
import {build, type BuildOptions} from 'esbuild';

export const projectRoot = path.resolve(import.meta.dirname, '..');

// Bundled CommonJS packages call `require`, which is not defined in ES modules.
const requireBanner =
	"import {createRequire as __createRequire} from 'node:module';const require=__createRequire(import.meta.url);";

/**
 * Bundles entry files into a folder.
 *
 * @param overrides - esbuild options that replace the shared ones
 * @example
 * await writeBundles(['src/bin/tool.ts'], 'dist/bin');
 */
export async function writeBundles(
	entryPoints: string[],
	outdir: string,
	overrides: BuildOptions = {},
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
		// Drops imports that are only used as types, so that the daemon doesn't load the policy schema.
		tsconfigRaw: {compilerOptions: {verbatimModuleSyntax: false, target: 'es2024'}},
		legalComments: 'none',
		sourcemap: false,
		banner: {js: requireBanner},
		external: ['dtrace-provider', 'mv', 'source-map-support'],
		logLevel: 'warning',
		...overrides,
	});
}
