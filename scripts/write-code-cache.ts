/** Writes the code cache of the sidecar's bundle; runs under the flags of the sidecar itself. */
import {readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import v8 from 'node:v8';
import vm from 'node:vm';
import {bundleName, cacheName} from './code-cache.ts';

const folder = process.argv[2]!;
// Compiles all functions, also those that a start doesn't call.
v8.setFlagsFromString('--no-lazy');
const script = new vm.Script(readFileSync(path.join(folder, bundleName), 'utf8'), {
	filename: bundleName,
});
v8.setFlagsFromString('--lazy');
writeFileSync(path.join(folder, cacheName), script.createCachedData());
