/**
 * The question of one daemon to another whether anything was sent under a nonce.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Dispatcher} from 'undici';
import {headerNames} from '../../call/headers.ts';
import {type KillVerdict} from '../../once/types.ts';
import {readRequestBody} from '../http/request-body.ts';

/** Path of the question on the peer port. */
export const killPath = '/primrosevalve/once/kill';

const maxQuestionBytes = 4096;
const answerTimeoutMs = 500;
const verdicts: ReadonlySet<string> = new Set<KillVerdict>([
	'neverSent',
	'inFlight',
	'ended',
	'forgotten',
	'unreachable',
]);

export type KillQuestion = {
	/** The holder of a claim, or the guard that the call was sent to. */
	readonly role: 'holder' | 'guard';
	/** The instance that is meant; another one at the same address knows nothing. */
	readonly instanceId: string;
	readonly nonce: string;
};

/** Answers a question about this instance. */
export type KillHandler = (question: KillQuestion) => KillVerdict;

/** Parses a question; undefined when it is malformed. */
function parseQuestion(text: string): KillQuestion | undefined {
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
 * Handles a question that arrived on the peer port.
 *
 * @example
 * await handleKill(request, response, question => guard.killNonce(question.nonce));
 */
export async function handleKill(
	request: IncomingMessage,
	response: ServerResponse,
	answer: KillHandler,
): Promise<void> {
	const body = await readRequestBody(request, maxQuestionBytes);
	const isWhole = body.isOk() && body.value.kind === 'whole';
	const question = isWhole ? parseQuestion(new TextDecoder().decode(body.value.bytes)) : undefined;
	if (question === undefined) {
		response.writeHead(400);
		response.end();
		return;
	}

	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify({verdict: answer(question)}));
}

/**
 * Sends a question and waits for its answer for a bounded time.
 *
 * @returns `unreachable` for every answer that is not a verdict
 * @example
 * const verdict = await sendKill(pool, peerKey, {role: 'holder', instanceId, nonce});
 */
export async function sendKill(
	dispatcher: Dispatcher,
	peerKey: string,
	question: KillQuestion,
): Promise<KillVerdict> {
	try {
		const answer = await dispatcher.request({
			method: 'POST',
			path: killPath,
			headers: {'content-type': 'application/json', [headerNames.peerKey]: peerKey},
			body: JSON.stringify(question),
			signal: AbortSignal.timeout(answerTimeoutMs),
		});
		const {verdict} = (await answer.body.json()) as {readonly verdict?: unknown};
		return typeof verdict === 'string' && verdicts.has(verdict)
			? (verdict as KillVerdict)
			: 'unreachable';
	} catch {
		return 'unreachable';
	}
}
