/** Holds the newest configuration; an older one never replaces it. */
import {type Result} from 'neverthrow';
import {type Logger} from '../../reporting/logger.ts';
import {type MeshConfig} from '../types.ts';
import {RouteTable} from './route-table.ts';

/** Version that stands for no configuration; lower than any other. */
export const noConfigVersion = -1;

export type ActiveConfigOptions = {
	readonly logger: Logger;
	decode(source: string): Result<MeshConfig, Error>;
	/** Called when a newer configuration has been applied. */
	handleChange(config: MeshConfig): void;
};

export class ActiveConfig {
	/**
	 * @example
	 * const activeConfig = ActiveConfig.create({logger, decode, handleChange});
	 * activeConfig.apply(source, 'store');
	 */
	static create(options: ActiveConfigOptions): ActiveConfig {
		return new ActiveConfig(options);
	}

	#routes: RouteTable | undefined;

	private constructor(private readonly options: ActiveConfigOptions) {}

	/** Routes of the configuration; undefined until one is known. */
	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	get version(): number {
		return this.#routes?.config.version ?? noConfigVersion;
	}

	/**
	 * Applies a configuration if it can be decoded and is newer; otherwise the current one stays.
	 *
	 * @param from - origin of the configuration, for the log
	 */
	apply(source: string, from: string): void {
		const {logger} = this.options;
		const decoded = this.options.decode(source);
		if (decoded.isErr()) {
			logger.warn({from, reason: decoded.error.message}, 'failed to decode the configuration');
			return;
		}

		const config = decoded.value;
		const before = this.version;
		if (config.version <= before) {
			return;
		}

		this.#routes = RouteTable.create(config);
		this.options.handleChange(config);
		const routes = config.routes.length;
		logger.info({from, version: config.version, before, routes}, 'configuration applied');
	}
}
