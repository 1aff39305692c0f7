/** Generates the reference pages in docs/ from the schemas. */
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {listReferencePages} from './docs/pages.ts';

const docsFolder = path.resolve(import.meta.dirname, '..', 'docs');

for (const page of await listReferencePages()) {
	await writeFile(path.join(docsFolder, page.file), page.text);
}
