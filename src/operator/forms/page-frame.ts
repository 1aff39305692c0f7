/**
 * Layout and style sheet of the console's pages.
 */
import {renderHtml, type Html} from '../../html/template.ts';

/** Style sheet of all pages. */
export const consoleStyle = `
body { font: 16px/1.5 system-ui, sans-serif; color: #1b1b1b; background: #fff; max-width: 64rem; margin: 2rem auto; padding: 0 1rem; }
fieldset { border: 1px solid #c8c8c8; margin: 0 0 1.5rem; padding: 0.5rem 1rem 1rem; }
legend { font-weight: 600; }
label { display: inline-block; margin-right: 0.5rem; }
p.field { margin: 0.4rem 0; }
input, select, button { font: inherit; padding: 0.2rem 0.4rem; }
:focus-visible { outline: 3px solid #1f4e8c; outline-offset: 2px; }
table { border-collapse: collapse; margin: 0.5rem 0; }
th, td { border: 1px solid #c8c8c8; padding: 0.3rem 0.7rem; text-align: left; }
.note { display: block; color: #8a1c26; font-weight: 600; }
.message { border-left: 4px solid #8a1c26; background: #fbe3e4; padding: 0.5rem 1rem; }
.done { border-left: 4px solid #1d6b37; background: #e3f3e8; padding: 0.5rem 1rem; }
`;

/**
 * Renders a complete HTML document around the main content of a page.
 *
 * @example
 * const page = renderPage('Policy', renderHtml`<p>empty</p>`);
 */
export function renderPage(title: string, main: Html): string {
	return renderHtml`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${title} - primrosevalve</title>
<link rel="stylesheet" href="/style.css">
</head>
<body>
<main>
<h1>${title}</h1>
${main}
</main>
</body>
</html>
`.text;
}
