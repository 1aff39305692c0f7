import {readFileSync} from 'node:fs';
import path from 'node:path';
import test from 'ava';
import {listReferencePages} from './pages.ts';

const docsFolder = path.resolve(import.meta.dirname, '..', '..', 'docs');

test('the committed reference pages match the schemas', async t => {
	for (const {file, text} of await listReferencePages()) {
		t.is(readFileSync(path.join(docsFolder, file), 'utf8'), text, `${file}: run "npm run docs"`);
	}
});
