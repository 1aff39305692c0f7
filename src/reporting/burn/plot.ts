/**
 * Draws the burn rate of each hour as SVG. Hours without data are shaded, and the line breaks there.
 */
import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import {type ObjectiveReport} from './types.ts';

const hourMs = 3_600_000;
const plotWidthPx = 720;
const plotHeightPx = 180;

type PlotRow = {
	readonly fromMs: number;
	readonly toMs: number;
	/** Undefined for an hour without calls, which breaks the line. */
	readonly burnRate: number | undefined;
	readonly isGap: boolean;
};

/**
 * Lists the rows of the plot, one for each hour. Only hours with calls have a burn rate.
 *
 * @example
 * const rows = listPlotRows(objective);
 */
export function listPlotRows(objective: ObjectiveReport): readonly PlotRow[] {
	return objective.hours.map(({hourStartMs, burn}) => ({
		fromMs: hourStartMs,
		toMs: hourStartMs + hourMs,
		burnRate: burn.burnRate,
		isGap: burn.counts.kind === 'gap',
	}));
}

function createSpec(objective: ObjectiveReport): TopLevelSpec {
	const rows = listPlotRows(objective);
	return {
		$schema: 'https://vega.github.io/schema/vega-lite/v6.json',
		background: 'white',
		width: plotWidthPx,
		height: plotHeightPx,
		data: {values: rows as unknown as Array<Record<string, unknown>>},
		layer: [
			{
				transform: [{filter: 'datum.isGap'}],
				mark: {type: 'rect', color: '#e4e4e4'},
				encoding: {
					x: {field: 'fromMs', type: 'temporal', scale: {type: 'utc'}},
					x2: {field: 'toMs'},
				},
			},
			{
				mark: {type: 'rule', color: '#b02a37', strokeDash: [4, 4]},
				encoding: {y: {datum: 1}},
			},
			{
				mark: {
					type: 'line',
					color: '#1f4e8c',
					point: {color: '#1f4e8c'},
					invalid: 'break-paths-show-domains',
				},
				encoding: {
					x: {
						field: 'fromMs',
						type: 'temporal',
						title: 'hour (UTC), grey: no data',
						scale: {type: 'utc'},
					},
					y: {field: 'burnRate', type: 'quantitative', title: 'burn rate', scale: {domainMin: 0}},
				},
			},
		],
	};
}

/**
 * Renders the burn rate plot of one objective.
 *
 * @returns one SVG element
 * @example
 * const svg = await renderBurnPlot(report.objectives[0]);
 */
export async function renderBurnPlot(objective: ObjectiveReport): Promise<string> {
	const {spec} = compile(createSpec(objective));
	const view = new View(parse(spec), {renderer: 'none'});
	const svg = await view.toSVG();
	view.finalize();
	return svg;
}
