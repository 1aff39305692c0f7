/**
 * Registry of the scenarios. Each module is imported only when its scenario is run.
 */
import {type Scenario} from './types.ts';

type ScenarioLoader = () => Promise<{readonly scenario: Scenario}>;

const loaders: Readonly<Record<string, ScenarioLoader>> = {
	goodput: async () => import('./goodput.ts'),
	recovery: async () => import('./recovery.ts'),
	crest: async () => import('./crest.ts'),
	'short-behind-long': async () => import('./short-behind-long.ts'),
	added: async () => import('./added.ts'),
	control: async () => import('./control.ts'),
	members: async () => import('./members.ts'),
	slowed: async () => import('./slowed.ts'),
};

export const scenarioNames: readonly string[] = Object.keys(loaders);

/**
 * Loads a scenario by its name.
 *
 * @returns undefined if no scenario has this name
 * @example
 * const scenario = await loadScenario('goodput');
 */
export async function loadScenario(name: string): Promise<Scenario | undefined> {
	const loader = loaders[name];
	if (loader === undefined) {
		return undefined;
	}

	const {scenario} = await loader();
	return scenario;
}
