/**
 * Types of bench scenarios.
 */

export const variantKinds = ['none', 'fixed', 'adaptive'] as const;

export type VariantKind = (typeof variantKinds)[number];

export type ScenarioOptions = {
	readonly seed: number;
};

/** Figures of one variant by name. */
export type Figures = Readonly<Record<string, number | boolean | string>>;

/** Whether the run had the load that its scenario needs. */
export type Premise = {
	readonly holds: boolean;
	readonly details: Readonly<Record<string, number | boolean | string>>;
};

export type ScenarioResult = {
	readonly scenario: string;
	readonly seed: number;
	readonly premise: Premise;
	readonly variants: Readonly<Partial<Record<VariantKind, Figures>>>;
	readonly sizes?: readonly Figures[];
};

/** A scenario of the bench. */
export type Scenario = {
	run(options: ScenarioOptions): Promise<ScenarioResult>;
};
