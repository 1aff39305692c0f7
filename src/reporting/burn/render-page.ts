/**
 * Renders a burn report as a self-contained HTML page.
 */
import {Html, renderHtml} from '../../html/template.ts';
import {formatBudget, formatWindowBurn, formatPairState} from './format-text.ts';
import {renderBurnPlot} from './plot.ts';
import {type BurnReport, type ObjectiveReport, type PairReport} from './types.ts';

const pageStyle = Html.createTrusted(`
body { font: 16px/1.5 system-ui, sans-serif; color: #1b1b1b; background: #fff; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; margin: 0.5rem 0 1rem; }
th, td { border: 1px solid #c8c8c8; padding: 0.3rem 0.7rem; text-align: left; }
th { background: #f3f3f3; }
.firing { background: #fbe3e4; font-weight: 600; }
.gap, .partial { background: #ececec; }
svg { max-width: 100%; height: auto; }
`);

function renderPair(pair: PairReport): Html {
	const cells = [
		pair.name,
		formatWindowBurn(pair.short),
		formatWindowBurn(pair.long),
		`${pair.threshold.toFixed(1)}x`,
		formatPairState(pair.state, pair.severity),
	];
	return renderHtml`<tr class="${pair.state.kind}">${cells.map(cell => renderHtml`<td>${cell}</td>`)}</tr>`;
}

async function renderObjective(objective: ObjectiveReport): Promise<Html> {
	const target = `${(objective.target * 100).toFixed(3)} % good in ${objective.windowDays} days`;
	return renderHtml`<section>
<h2>${objective.service}, caller ${objective.caller}</h2>
<p>Objective: ${target}. Error budget: ${formatBudget(objective.budget)}.</p>
<table>
<thead><tr><th scope="col">pair</th><th scope="col">short window</th><th scope="col">long window</th><th scope="col">threshold</th><th scope="col">state</th></tr></thead>
<tbody>
${objective.pairs.map(pair => renderPair(pair))}
</tbody>
</table>
${Html.createTrusted(await renderBurnPlot(objective))}
</section>`;
}

/**
 * Renders a burn report as an HTML page that loads no scripts, styles or images.
 *
 * @example
 * await writeFile('burn.html', await renderBurnPage(report));
 */
export async function renderBurnPage(report: BurnReport): Promise<string> {
	const sections: Html[] = [];
	for (const objective of report.objectives) {
		sections.push(await renderObjective(objective));
	}

	const at = new Date(report.atMs).toISOString();
	const empty = renderHtml`<p>The policy has no objectives.</p>`;
	return renderHtml`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>${pageStyle}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>${at}, policy version ${report.policyVersion}. A burn rate of 1 (dashed line) spends the whole budget in the objective's window.</p>
${sections.length === 0 ? empty : sections}
</body>
</html>
`.text;
}
