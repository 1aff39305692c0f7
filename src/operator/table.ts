/**
 * Formats rows as a table for a terminal.
 */

/**
 * Formats a table with aligned columns.
 *
 * @example
 * formatTable(['server', 'state'], [['catalogue-1', 'serving']]);
 */
export function formatTable(
	head: readonly string[],
	rows: ReadonlyArray<readonly string[]>,
): string {
	const all = [head, ...rows];
	const widths = head.map((_, column) => {
		let width = 0;
		for (const row of all) {
			width = Math.max(width, row[column]?.length ?? 0);
		}

		return width;
	});
	const formatRow = (row: readonly string[]) =>
		row
			.map((cell, column) => cell.padEnd(widths[column]!))
			.join('  ')
			.trimEnd();
	return `${all.map(row => formatRow(row)).join('\n')}\n`;
}
