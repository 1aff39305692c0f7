/**
 * Client of the daemons' administration ports.
 */
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import {request} from 'undici';
import {readBodyJson} from '../../http/read-body.ts';
import {type Member} from '../../membership/types.ts';
import {OperatorError} from '../errors.ts';
import {adminKeyHeader, type AdminCounters, type AdminStatus} from './types.ts';

export type AdminClientOptions = {
	readonly key: string;
	/** Base URLs of administration ports. */
	readonly urls: readonly string[];
	/** Administration port of all members; 0 to send requests to `urls` only. */
	readonly port: number;
	readonly timeoutMs: number;
};

/** One daemon's answer, or why the request failed. */
export type DaemonAnswer<Value> = {
	readonly url: string;
	readonly answer: {readonly kind: 'answered'; readonly value: Value} | DaemonFailure;
};

export type DaemonFailure = {readonly kind: 'failed'; readonly detail: string};

const statusUnauthorized = 401;
const statusOk = 200;
/** Daemons that are sent a request at the same time. */
const maxParallelRequests = 50;
/** The counters of a daemon are the longest answer. */
const maxAnswerBytes = 16 * 1024 * 1024;

/** Reads the state of daemons and drains them through their administration ports. */
export class AdminClient {
	/**
	 * @example
	 * const client = AdminClient.create({key, urls: ['http://10.0.0.7:7400'], port: 0, timeoutMs: 2000});
	 */
	static create(options: AdminClientOptions): AdminClient {
		return new AdminClient(options);
	}

	readonly #options: AdminClientOptions;

	private constructor(options: AdminClientOptions) {
		this.#options = options;
	}

	/** Reads the members from the first daemon that answers. */
	readMembers(): ResultAsync<readonly Member[], OperatorError> {
		return new ResultAsync(this.#readMembersInTurn());
	}

	/** Reads the status of each daemon with a known administration port. */
	async readStatuses(
		members: readonly Member[],
	): Promise<ReadonlyArray<DaemonAnswer<AdminStatus>>> {
		return this.#requestAll<AdminStatus>(this.#listUrls(members), '/admin/status');
	}

	/** Reads the call counters of each daemon with a known administration port. */
	async readCounters(
		members: readonly Member[],
	): Promise<ReadonlyArray<DaemonAnswer<AdminCounters>>> {
		return this.#requestAll<AdminCounters>(this.#listUrls(members), '/admin/counters');
	}

	/** Starts the graceful shutdown of the daemon at a URL; returns before it has stopped. */
	drain(url: string): ResultAsync<void, OperatorError> {
		return this.#send(url, '/admin/drain', 'POST').map(() => undefined);
	}

	/** Whether the daemon at a URL answers with its status. */
	async isAnswering(url: string): Promise<boolean> {
		const answer = await this.#send(url, '/admin/status', 'GET');
		return answer.isOk();
	}

	async #readMembersInTurn() {
		let failure = OperatorError.create(
			'usage',
			'no daemon address is configured',
			'Set [admin] urls.',
		);
		for (const url of this.#options.urls) {
			const answer = await this.#send(url, '/admin/members', 'GET');
			if (answer.isOk()) {
				return okAsync(answer.value as readonly Member[]);
			}

			failure = answer.error;
		}

		return errAsync(failure);
	}

	/** Lists the URLs of the settings and, if a common port is set, those of the members. */
	#listUrls(members: readonly Member[]): readonly string[] {
		const {urls, port} = this.#options;
		if (port === 0) {
			return urls;
		}

		const uniqueUrls = new Set(urls);
		for (const member of members) {
			uniqueUrls.add(`http://${member.address}:${port}`);
		}

		return [...uniqueUrls];
	}

	async #requestAll<Value>(
		urls: readonly string[],
		path: string,
	): Promise<ReadonlyArray<DaemonAnswer<Value>>> {
		const answers: Array<DaemonAnswer<Value>> = [];
		for (let start = 0; start < urls.length; start += maxParallelRequests) {
			const batch = urls.slice(start, start + maxParallelRequests);
			const requests = batch.map(async url => this.#requestOne<Value>(url, path));
			answers.push(...(await Promise.all(requests)));
		}

		return answers;
	}

	async #requestOne<Value>(url: string, path: string): Promise<DaemonAnswer<Value>> {
		const answer = await this.#send(url, path, 'GET');
		return answer.match(
			value => ({url, answer: {kind: 'answered', value: value as Value}}),
			error => ({url, answer: {kind: 'failed', detail: error.message}}),
		);
	}

	#send(url: string, path: string, method: 'GET' | 'POST'): ResultAsync<unknown, OperatorError> {
		return ResultAsync.fromPromise(this.#fetchJson(url, path, method), error =>
			error instanceof OperatorError
				? error
				: OperatorError.create(
						'failed',
						`daemon at ${url} does not answer: ${(error as Error).message}`,
						'Check that the daemon is running and that its address in [admin] urls is right.',
					),
		);
	}

	async #fetchJson(url: string, path: string, method: 'GET' | 'POST'): Promise<unknown> {
		const {key, timeoutMs} = this.#options;
		const {statusCode, body} = await request(`${url}${path}`, {
			method,
			headers: {[adminKeyHeader]: key},
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
			signal: AbortSignal.timeout(timeoutMs),
		});
		if (statusCode === statusOk) {
			return readBodyJson(body, maxAnswerBytes);
		}

		await body.dump();
		throw statusCode === statusUnauthorized
			? OperatorError.create(
					'failed',
					`daemon at ${url} refuses the key`,
					"Set [admin] key to the daemons' administration key.",
				)
			: OperatorError.create(
					'failed',
					`daemon at ${url} answers ${method} ${path} with status ${statusCode}`,
					'Check that the address is an administration port.',
				);
	}
}
