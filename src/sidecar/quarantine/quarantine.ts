/** Keeps requests that end the servers that run them away from further servers, together with all other sidecars. */
import {type Logger} from '../../reporting/logger.ts';
import {type Directory} from '../discovery/directory.ts';
import {CrashGossip} from './crash-gossip.ts';
import {type CrashEntry, decodeCrashUpdate, maxEntries} from './crash-message.ts';
import {CrashRecords} from './crash-records.ts';

/** The answer is not awaited; this only bounds how long an exchange is kept. */
const responseTimeoutMs = 700;
const sweepIntervalMs = 5000;

export class Quarantine {
	/**
	 * @example
	 * const quarantine = Quarantine.create(directory, logger);
	 * if (quarantine.has(digest)) refuse();
	 */
	static create(directory: Pick<Directory, 'list' | 'findMember'>, logger: Logger): Quarantine {
		return new Quarantine(directory, logger);
	}

	readonly #records = CrashRecords.create();
	readonly #gossip: CrashGossip;
	/** Digests whose quarantine was logged. */
	readonly #logged = new Set<string>();
	#sweepTimer: NodeJS.Timeout | undefined;

	private constructor(
		private readonly directory: Pick<Directory, 'list' | 'findMember'>,
		private readonly logger: Logger,
	) {
		this.#gossip = CrashGossip.create({
			timers: {
				setTimeout(run, delayMs) {
					setTimeout(run, delayMs).unref();
				},
				setInterval(run, delayMs) {
					const timer = setInterval(run, delayMs);
					timer.unref();
					return () => {
						clearInterval(timer);
					};
				},
			},
			pickPeers: count => this.#pickPeers(count),
			send: (peer, text) => {
				this.#send(peer, text);
			},
			listEntries: limit => this.#records.list(performance.now(), limit),
		});
	}

	start(): void {
		this.#gossip.start();
		this.#sweepTimer = setInterval(() => {
			this.#records.removeExpired(performance.now());
		}, sweepIntervalMs);
		this.#sweepTimer.unref();
	}

	stop(): void {
		this.#gossip.stop();
		clearInterval(this.#sweepTimer);
	}

	/** Counts the ends of servers that such a request was at, as far as nothing has cleared it. */
	countEnds(digest: string): number {
		return this.#records.listCrashes(digest, performance.now()).length;
	}

	/** Whether requests with this digest are not to be sent to any server. */
	has(digest: string): boolean {
		return this.#records.isQuarantined(digest, performance.now());
	}

	/**
	 * Records that the local server has ended.
	 *
	 * @param event - names the server and its start
	 * @param digests - of the requests that ran on it
	 */
	recordCrash(event: string, digests: ReadonlySet<string>): void {
		const nowMs = performance.now();
		const known: string[] = [];
		const others: string[] = [];
		for (const digest of digests) {
			const isKnown = this.#records.listCrashes(digest, nowMs).length > 0;
			(isKnown ? known : others).push(digest);
		}

		// Of many, those that were there before matter most, then the newest.
		const suspects = [...known, ...others.toReversed()].slice(0, maxEntries);
		this.#broadcast(this.#records.recordCrash(event, suspects, nowMs));
	}

	/** Records that the local server ran a request to an end. */
	recordCompletion(digest: string): void {
		this.#broadcast(this.#records.recordCompletion(digest, performance.now()));
	}

	/**
	 * Applies what a peer knows.
	 *
	 * @throws {TypeError} when the text is not a valid message; it then changes nothing
	 */
	applyUpdate(text: string): void {
		this.#broadcast(this.#records.merge(decodeCrashUpdate(text), performance.now()));
	}

	/** Spreads what was new here, and logs what it leads to. */
	#broadcast(fresh: readonly CrashEntry[]): void {
		const nowMs = performance.now();
		for (const {digest} of fresh) {
			const isQuarantined = this.#records.isQuarantined(digest, nowMs);
			const servers = this.#records.listCrashes(digest, nowMs).join(' ');
			if (isQuarantined && !this.#logged.has(digest)) {
				this.#logged.add(digest);
				this.logger.warn({digest, servers}, 'request quarantined: servers ended under it');
			} else if (!isQuarantined && this.#logged.delete(digest)) {
				this.logger.info({digest}, 'request no longer quarantined: a server ran it');
			}
		}

		this.#gossip.broadcast(fresh);
	}

	#pickPeers(count: number): string[] {
		const peers = this.directory.list().filter(view => view.transport.kind === 'link');
		const picked: string[] = [];
		while (picked.length < count && peers.length > 0) {
			const [view] = peers.splice(Math.floor(Math.random() * peers.length), 1);
			picked.push(view!.member.instance);
		}

		return picked;
	}

	/** Sends a message; a lost one needs no report, since it is repeated. */
	#send(peer: string, text: string): void {
		const transport = this.directory.findMember(peer)?.transport;
		if (transport?.kind === 'link') {
			void transport.pool.sync(text, responseTimeoutMs);
		}
	}
}
