/** Bundles each binary into dist/bin. */
import {readdir, rm} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {projectRoot, writeBundles} from './bundle.ts';

const binFolder = path.join(projectRoot, 'src', 'bin');

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
await writeBundles(await listEntryFiles(), path.join(projectRoot, 'dist', 'bin'));
process.stdout.write('built dist/bin\n');
