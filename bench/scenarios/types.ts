/**
 * Types shared by the bench scenarios.
 */

export const variantKinds = ['none', 'fixed', 'adaptive'] as const;

export type VariantKind = (typeof variantKinds)[number];

export type ScenarioOptions = {
	readonly seed: number;
};

/** Metrics of one variant, or of one fleet size, by name. */
export type Metrics = Readonly<Record<string, number | boolean | string>>;

/** Whether the run met the conditions that its scenario needs, such as load that was sent on time. */
export type Premise = {
	readonly holds: boolean;
	readonly details: Readonly<Record<string, number | boolean | string>>;
};

export type ScenarioResult = {
	readonly scenario: string;
	readonly seed: number;
	readonly premise: Premise;
	readonly variants: Readonly<Partial<Record<VariantKind, Metrics>>>;
	readonly sizes?: readonly Metrics[];
};

export type Scenario = {
	run(options: ScenarioOptions): Promise<ScenarioResult>;
};
