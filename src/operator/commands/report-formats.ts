/**
 * Formats of the burn report, each loaded when it is asked for.
 */
import {type BurnReport} from '../../reporting/burn/types.ts';

type ReportRenderer = (report: BurnReport) => Promise<string>;

/** Renderers by name. */
export const reportFormats: Readonly<Record<string, () => Promise<ReportRenderer>>> = {
	async text() {
		const {formatBurnText} = await import('../../reporting/burn/format-text.ts');
		return async report => formatBurnText(report);
	},
	async json() {
		return async report => `${JSON.stringify(report)}\n`;
	},
	async html() {
		const {renderBurnPage} = await import('../../reporting/burn/render-page.ts');
		return renderBurnPage;
	},
};
