/** Bundles entry files with the options shared by all binaries. Bundles start faster and need less memory. */
import {execFileSync} from 'node:child_process';
import {mkdtempSync, rmSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {build, buildSync, type BuildOptions} from 'esbuild';
import {bundleName, nodeFlags} from './code-cache.ts';

export const projectRoot = path.resolve(import.meta.dirname, '..');

// Bundled CommonJS packages call `require`, which is not defined in ES modules.
const requireBanner =
	"import {createRequire as __createRequire} from 'node:module';const require=__createRequire(import.meta.url);";

const sharedOptions = {
	platform: 'node',
	target: 'node20',
	minifySyntax: true,
	minifyWhitespace: true,
	// Drops imports that are only used as types, so that the daemon doesn't load the policy schema.
	tsconfigRaw: {compilerOptions: {verbatimModuleSyntax: false, target: 'es2024'}},
	legalComments: 'none',
	sourcemap: false,
	external: ['dtrace-provider', 'mv', 'source-map-support'],
	logLevel: 'warning',
} as const satisfies BuildOptions;

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
		format: 'esm',
		banner: {js: requireBanner},
		...sharedOptions,
		...overrides,
	});
}

/**
 * Writes the sidecar's program into a folder: a loader, the bundle and its code cache. CommonJS starts faster
 * than ES modules, and only a script can have a code cache.
 *
 * @example
 * writeSidecar('target');
 */
export function writeSidecar(folder: string): void {
	writeScript('src/bin/primrosevalve-sidecar.ts', path.join(folder, bundleName), {
		banner: {js: '(function (require) {'},
		footer: {js: '})'},
	});
	writeScript('scripts/sidecar-loader.ts', path.join(folder, 'primrosevalve-sidecar.cjs'));
	const tools = mkdtempSync(path.join(folder, 'tools-'));
	const cacheWriter = path.join(tools, 'write-code-cache.cjs');
	writeScript('scripts/write-code-cache.ts', cacheWriter);
	execFileSync(process.execPath, [...nodeFlags, cacheWriter, folder]);
	rmSync(tools, {recursive: true});
}

function writeScript(source: string, outfile: string, overrides: BuildOptions = {}): void {
	buildSync({
		entryPoints: [path.join(projectRoot, source)],
		outfile,
		bundle: true,
		format: 'cjs',
		...sharedOptions,
		...overrides,
	});
}
