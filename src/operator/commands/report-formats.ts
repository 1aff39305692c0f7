/**
 * Output formats of the burn report; the module of a format is imported on first use.
 */
import {type BurnReport} from '../../reporting/burn/types.ts';

type ReportRenderer = (report: BurnReport) => Promise<string>;

/** Loaders of the renderers by the name of the format. */
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
