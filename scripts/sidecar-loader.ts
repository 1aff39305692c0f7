/**
 * Loads the sidecar's bundle with the code cache that the build wrote beside it, so that a start compiles
 * nothing. A cache of another version or with other flags of Node.js is rejected; the code is compiled then.
 */
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import process from 'node:process';
import vm from 'node:vm';
import {bundleName, cacheName} from './code-cache.ts';

const folder = path.dirname(process.argv[1]!);
const script = new vm.Script(readFileSync(path.join(folder, bundleName), 'utf8'), {
	filename: bundleName,
	cachedData: readFileSync(path.join(folder, cacheName)),
});
if (script.cachedDataRejected) {
	process.stderr.write(
		`primrosevalve-sidecar: the code cache ${cacheName} does not fit; compiling\n`,
	);
}

type ModuleFunction = (require: NodeJS.Require) => void;
const run = script.runInThisContext() as ModuleFunction;
run(createRequire(path.join(folder, bundleName)));
