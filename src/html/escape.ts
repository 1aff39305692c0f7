/**
 * Escapes text for HTML pages.
 */

const entities: Readonly<Record<string, string>> = {
	'&': '&amp;',
	'<': '&lt;',
	'>': '&gt;',
	'"': '&quot;',
	"'": '&#39;',
};

/**
 * Replaces the characters that have a meaning in HTML text and attributes.
 *
 * @example
 * convertToHtml('<b>'); // '&lt;b&gt;'
 */
export function convertToHtml(text: string): string {
	return text.replaceAll(/[&<>"']/gv, character => entities[character]!);
}
