/** Hands a sync message of a peer to the part of the sidecar that it is for. */
import {isCrashUpdate} from '../quarantine/crash-message.ts';
import {type Quarantine} from '../quarantine/quarantine.ts';
import {type PeerSync} from './peer-sync.ts';
import {isRelay} from './relay-message.ts';
import {type StoreSync} from './store-sync.ts';

/**
 * Creates the handler of sync messages. It returns the answer, and throws a `TypeError` for an invalid message.
 *
 * @example
 * const answerSync = createSyncHandler(quarantine, storeSync, peerSync);
 */
export function createSyncHandler(
	quarantine: Pick<Quarantine, 'applyUpdate'>,
	storeSync: Pick<StoreSync, 'answerRelay'>,
	peerSync: Pick<PeerSync, 'answerRequest'>,
): (text: string) => string {
	return text => {
		if (isCrashUpdate(text)) {
			quarantine.applyUpdate(text);
			return '';
		}

		return isRelay(text) ? storeSync.answerRelay(text) : peerSync.answerRequest(text);
	};
}
