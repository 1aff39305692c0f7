/** Keeps the newest configuration; it never goes back to an older one. */
import {type Result} from 'neverthrow';
import {type Logger} from '../../reporting/logger.ts';
import {type MeshConfig} from '../types.ts';
import {RouteTable} from './route-table.ts';

/** Stands for no configuration; any version is newer. */
export const noVersion = -1;

export type ConfigOptions = {
	readonly logger: Logger;
	decode(source: string): Result<MeshConfig, Error>;
	/** A newer configuration has come into force. */
	handleChange(config: MeshConfig): void;
};

export class ConfigKeeper {
	/**
	 * @example
	 * const keeper = ConfigKeeper.create({logger, decode, handleChange});
	 * keeper.take(source, 'store');
	 */
	static create(options: ConfigOptions): ConfigKeeper {
		return new ConfigKeeper(options);
	}

	#routes: RouteTable | undefined;

	private constructor(private readonly options: ConfigOptions) {}

	/** Undefined until a configuration is known. */
	get routes(): RouteTable | undefined {
		return this.#routes;
	}

	get version(): number {
		return this.#routes?.config.version ?? noVersion;
	}

	/**
	 * Takes a configuration, if it is newer and can be understood; otherwise the present one holds.
	 *
	 * @param from - where it came from, for the log
	 */
	take(source: string, from: string): void {
		const {logger} = this.options;
		const decoded = this.options.decode(source);
		if (decoded.isErr()) {
			logger.warn({from, reason: decoded.error.message}, 'configuration not understood');
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
		logger.info({from, version: config.version, before, routes}, 'configuration is in force');
	}
}
