/** Bundles the sidecar into target/, from where the platform starts it, with a code cache for fast starts. */
import path from 'node:path';
import process from 'node:process';
import {projectRoot, writeSidecar} from './bundle.ts';

writeSidecar(path.join(projectRoot, 'target'));
process.stdout.write('built target\n');
