/**
 * The generated reference pages, formatted with the Prettier settings of the project.
 */
import {format, resolveConfig} from 'prettier';
import {renderPolicyPage, renderSettingsPage} from './reference.ts';

export type ReferencePage = {readonly file: string; readonly text: string};

/**
 * Generates the reference pages.
 *
 * @example
 * for (const {file, text} of await listReferencePages()) await writeFile(`docs/${file}`, text);
 */
export async function listReferencePages(): Promise<readonly ReferencePage[]> {
	const config = await resolveConfig(import.meta.filename);
	const options = {...config, parser: 'markdown'};
	return [
		{file: 'SETTINGS.md', text: await format(renderSettingsPage(), options)},
		{file: 'POLICY.md', text: await format(renderPolicyPage(), options)},
	];
}
