/** Bundles the sidecar into target/, from where the platform starts it. */
import path from 'node:path';
import process from 'node:process';
import {projectRoot, writeBundles} from './bundle.ts';

const entryFile = path.join(projectRoot, 'src', 'bin', 'primrosevalve-sidecar.ts');
await writeBundles([entryFile], path.join(projectRoot, 'target'), {outExtension: {'.js': '.mjs'}});
process.stdout.write('built target\n');
