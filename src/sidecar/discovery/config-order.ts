/**
 * Decides which of two configurations is the newer one (monotonic adoption, with the store's position as the tie-break).
 *
 * The operators' version goes first: a restored store may show an older configuration for a while. One version may
 * have two contents only after a restore, when the first of them was lost; the one at the later position is in force.
 */
import {type StorePosition} from '../shared-table.ts';
import {comparePositions} from './table-position.ts';

export type KnownConfig = {
	readonly version: number;
	readonly source: string;
	/** Position of the store's row; undefined for a configuration from a peer. */
	readonly position: StorePosition | undefined;
};

export type ConfigOrder = 'newer' | 'same' | 'rewritten' | 'older';

/**
 * @returns `rewritten` for other content with the version in force, from a later position
 * @example
 * compareConfigs(current, {version: 19, source, position: {era: 2, version: 40}});
 */
export function compareConfigs(current: KnownConfig, candidate: KnownConfig): ConfigOrder {
	if (candidate.version !== current.version) {
		return candidate.version > current.version ? 'newer' : 'older';
	}

	if (candidate.source === current.source) {
		return 'same';
	}

	const {position} = candidate;
	if (position === undefined) {
		return 'older';
	}

	const isLater =
		current.position === undefined || comparePositions(position, current.position) > 0;
	return isLater ? 'rewritten' : 'older';
}
