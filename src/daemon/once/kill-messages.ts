/**
 * Kill requests between daemons. A kill request kills a nonce unless something was sent under it,
 * and its answer states which is the case.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Dispatcher} from 'undici';
import {headerNames} from '../../call/headers.ts';
import {readBodyJson} from '../../http/read-body.ts';
import {type KillVerdict} from '../../once/types.ts';
import {readRequestBody} from '../http/request-body.ts';

/** Path of kill requests on the peer port. */
export const killPath = '/primrosevalve/once/kill';

const maxKillRequestBytes = 4096;
const maxVerdictBytes = 4096;
const killTimeoutMs = 500;
const verdicts: ReadonlySet<string> = new Set<KillVerdict>([
	'neverSent',
	'inFlight',
	'ended',
	'forgotten',
	'unreachable',
]);

export type KillRequest = {
	/** Role of the receiver: the holder of a claim, or the guard that the call was sent to. */
	readonly role: 'holder' | 'guard';
	/** Intended receiver; a later instance at the same address has no record of the nonce. */
	readonly instanceId: string;
	readonly nonce: string;
};

/** Handles a kill request and returns its verdict. */
export type KillHandler = (killRequest: KillRequest) => KillVerdict;

/** Parses a kill request; returns undefined if it is malformed. */
function parseKillRequest(text: string): KillRequest | undefined {
	try {
		const {role, instanceId, nonce} = JSON.parse(text) as Partial<Record<string, unknown>>;
		if (role !== 'holder' && role !== 'guard') {
			return undefined;
		}

		return typeof instanceId === 'string' && typeof nonce === 'string'
			? {role, instanceId, nonce}
			: undefined;
	} catch {
		return undefined;
	}
}

/**
 * Answers a kill request that arrived on the peer port.
 *
 * @example
 * await handleKillRequest(request, response, ({nonce}) => onceCalls.killNonce(nonce));
 */
export async function handleKillRequest(
	request: IncomingMessage,
	response: ServerResponse,
	handler: KillHandler,
): Promise<void> {
	const body = await readRequestBody(request, maxKillRequestBytes);
	const isWhole = body.isOk() && body.value.kind === 'whole';
	const killRequest = isWhole
		? parseKillRequest(new TextDecoder().decode(body.value.bytes))
		: undefined;
	if (killRequest === undefined) {
		response.writeHead(400);
		response.end();
		return;
	}

	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify({verdict: handler(killRequest)}));
}

/**
 * Sends a kill request and waits for its verdict, up to `killTimeoutMs`.
 *
 * @returns the verdict, or `unreachable` when none was received
 * @example
 * const verdict = await sendKillRequest(pool, peerKey, {role: 'holder', instanceId, nonce});
 */
export async function sendKillRequest(
	dispatcher: Dispatcher,
	peerKey: string,
	killRequest: KillRequest,
): Promise<KillVerdict> {
	try {
		const answer = await dispatcher.request({
			method: 'POST',
			path: killPath,
			headers: {'content-type': 'application/json', [headerNames.peerKey]: peerKey},
			body: JSON.stringify(killRequest),
			signal: AbortSignal.timeout(killTimeoutMs),
		});
		const {verdict} = (await readBodyJson(answer.body, maxVerdictBytes)) as {
			readonly verdict?: unknown;
		};
		return typeof verdict === 'string' && verdicts.has(verdict)
			? (verdict as KillVerdict)
			: 'unreachable';
	} catch {
		return 'unreachable';
	}
}
