/**
 * Formats rows as a table for a terminal.
 */

/**
 * Formats a header and rows with left-aligned columns, two spaces apart.
 *
 * @example
 * formatTable(['server', 'state'], [['catalogue-1', 'serving']]);
 */
export function formatTable(
	header: readonly string[],
	rows: ReadonlyArray<readonly string[]>,
): string {
	const lines = [header, ...rows];
	const widths = header.map((_, column) => {
		let width = 0;
		for (const row of lines) {
			width = Math.max(width, row[column]?.length ?? 0);
		}

		return width;
	});
	const formatRow = (row: readonly string[]) =>
		row
			.map((cell, column) => cell.padEnd(widths[column]!))
			.join('  ')
			.trimEnd();
	return `${lines.map(row => formatRow(row)).join('\n')}\n`;
}
