/**
 * HTML templates that escape every interpolated value except instances of `Html`.
 */

const htmlEntities: Readonly<Record<string, string>> = {
	'&': '&amp;',
	'<': '&lt;',
	'>': '&gt;',
	'"': '&quot;',
	"'": '&#39;',
};

/** Text that is inserted into a template without escaping. */
export class Html {
	/**
	 * Marks text as HTML without escaping it. Use it only for text rendered by this program or a library,
	 * never for input.
	 *
	 * @example
	 * Html.createTrusted('<svg></svg>');
	 */
	static createTrusted(text: string): Html {
		return new Html(text);
	}

	readonly text: string;

	private constructor(text: string) {
		this.text = text;
	}

	toString(): string {
		return this.text;
	}
}

export type TemplateValue = string | number | Html | readonly Html[];

function renderValue(value: TemplateValue): string {
	if (value instanceof Html) {
		return value.text;
	}

	if (typeof value === 'object') {
		return value.map(part => part.text).join('\n');
	}

	return String(value).replaceAll(/[&<>"']/gv, character => htmlEntities[character]!);
}

/**
 * Renders a template literal as HTML. Strings and numbers are escaped for text and quoted attributes;
 * lists of `Html` are joined with line breaks.
 *
 * @example
 * renderHtml`<p>${'<b>'}</p>`.text; // '<p>&lt;b&gt;</p>'
 */
export function renderHtml(parts: TemplateStringsArray, ...values: readonly TemplateValue[]): Html {
	let text = parts[0]!;
	for (const [index, value] of values.entries()) {
		text += renderValue(value) + parts[index + 1]!;
	}

	return Html.createTrusted(text);
}
