/** Holds the newest configuration; an older or invalid one never replaces it. */
import {type Result} from 'neverthrow';
import {type Logger} from '../../reporting/logger.ts';
import {type MessageLog} from '../reporting/message-log.ts';
import {type MeshConfig} from '../types.ts';
import {type StorePosition} from '../shared-table.ts';
import {compareConfigs, type KnownConfig} from './config-order.ts';
import {RouteTable} from './route-table.ts';
import {comparePositions} from './table-position.ts';

/** Version that stands for no configuration; lower than any other. */
export const noConfigVersion = -1;

export type ActiveConfigOptions = {
	readonly logger: Logger;
	readonly messageLog: Pick<MessageLog, 'recordIgnored'>;
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
	#known: KnownConfig | undefined;
	/** Contents of the version in force that others have replaced; a restored store may bring them back. */
	readonly #replacedSources = new Set<string>();

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
	 * @param position - position of the row, if it comes from the store
	 */
	apply(source: string, from: string, position?: StorePosition): void {
		const {logger} = this.options;
		const decoded = this.options.decode(source);
		if (decoded.isErr()) {
			const reason = decoded.error.message;
			const message = {
				source: 'configuration',
				cause: 'undecodable',
				reason,
				sender: from,
			} as const;
			this.options.messageLog.recordIgnored(message);
			return;
		}

		const config = decoded.value;
		const before = this.version;
		if (!this.#adopt({version: config.version, source, position})) {
			return;
		}

		this.#routes = RouteTable.create(config);
		this.options.handleChange(config);
		const routes = config.routes.length;
		const fields = {from, version: config.version, before, routes, era: position?.era};
		logger.info(fields, 'configuration applied');
	}

	/** Records a configuration; false if it isn't to be applied. */
	#adopt(candidate: KnownConfig): boolean {
		const current = this.#known;
		const order = current === undefined ? 'newer' : compareConfigs(current, candidate);
		switch (order) {
			case 'newer': {
				this.#replacedSources.clear();
				break;
			}

			case 'same': {
				this.#known = {...candidate, position: selectLater(current!.position, candidate.position)};
				return false;
			}

			case 'rewritten': {
				if (this.#replacedSources.has(candidate.source)) {
					return false;
				}

				this.#replacedSources.add(current!.source);
				break;
			}

			case 'older': {
				return false;
			}
		}

		this.#known = candidate;
		return true;
	}
}

function selectLater(
	first: StorePosition | undefined,
	second: StorePosition | undefined,
): StorePosition | undefined {
	if (first === undefined || second === undefined) {
		return first ?? second;
	}

	return comparePositions(first, second) > 0 ? first : second;
}
