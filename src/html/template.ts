/**
 * HTML templates that escape every value unless it is HTML itself.
 */

const entities: Readonly<Record<string, string>> = {
	'&': '&amp;',
	'<': '&lt;',
	'>': '&gt;',
	'"': '&quot;',
	"'": '&#39;',
};

/** Text that is valid HTML and needs no escaping. */
export class Html {
	/**
	 * Marks text as HTML. Only for text that this program or a library rendered.
	 *
	 * @example
	 * Html.create('<svg></svg>');
	 */
	static create(text: string): Html {
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

export type HtmlValue = string | number | Html | readonly Html[];

function convertToHtml(value: HtmlValue): string {
	if (value instanceof Html) {
		return value.text;
	}

	if (typeof value === 'object') {
		return value.map(part => part.text).join('\n');
	}

	return String(value).replaceAll(/[&<>"']/gv, character => entities[character]!);
}

/**
 * Renders a template literal; strings and numbers are escaped for text and quoted attributes.
 *
 * @example
 * renderHtml`<p>${'<b>'}</p>`.text; // '<p>&lt;b&gt;</p>'
 */
export function renderHtml(parts: TemplateStringsArray, ...values: readonly HtmlValue[]): Html {
	let text = parts[0]!;
	for (const [index, value] of values.entries()) {
		text += convertToHtml(value) + parts[index + 1]!;
	}

	return Html.create(text);
}
