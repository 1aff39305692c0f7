/** What the platform's adapter provides to a sidecar. */
import {type Result} from 'neverthrow';
import {type SharedTable} from './shared-table.ts';
import {type HeadCodec, type MeshConfig, type ServerMessage} from './types.ts';

/** Codecs and storage that the platform's adapter provides. */
export type SidecarPlatform = {
	readonly codec: HeadCodec;
	readonly table: SharedTable;
	/** Key of the row that holds the newest configuration. */
	readonly configKey: string;
	decodeConfig(source: string): Result<MeshConfig, Error>;
	decodeServerMessage(url: string, body: string): Result<ServerMessage, Error>;
};
