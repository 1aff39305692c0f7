/**
 * Identifies the server by what an earlier process of this sidecar announced, so that requests can arrive before the
 * server's next report. The server itself has to confirm its id; one that is leaving is not healthy.
 */
import {type ServerFacts, type ServerWitness} from './guard/local-server-state.ts';
import {type Member} from './types.ts';

export type FormerServerOptions = {
	/** Service of the server by the settings. */
	readService(): string;
	/** Health path of a service; undefined while no configuration names it. */
	findHealthPath(service: string): string | undefined;
	/** Whether the server has reported to this process. */
	isServerKnown(): boolean;
	/** Requests a health path of the server. */
	probe(path: string): Promise<ServerWitness>;
	/** Called with what was announced before, which no one has confirmed. */
	handleFormer(facts: ServerFacts): void;
	/** Called when the server has confirmed it. */
	handleIdentified(facts: ServerFacts): void;
};

export class FormerServer {
	/**
	 * @example
	 * const former = FormerServer.create(options);
	 * former.setMember(member);
	 */
	static create(options: FormerServerOptions): FormerServer {
		return new FormerServer(options);
	}

	#member: Member | undefined;
	#hasProbed = false;

	private constructor(private readonly options: FormerServerOptions) {}

	/** Sets the announcement of the earlier process; only the first one read can be its own. */
	setMember(member: Member | undefined): void {
		if (member === undefined || this.#member !== undefined) {
			return;
		}

		this.#member = member;
		if (member.service === this.options.readService()) {
			this.options.handleFormer(readMemberFacts(member));
		}
	}

	/** Asks the server once, as soon as the configuration names its health path. */
	async probe(): Promise<void> {
		const member = this.#member;
		const wasInUse = member?.state === 'ready' || member?.isDraining === true;
		if (this.#hasProbed || this.options.isServerKnown() || member === undefined || !wasInUse) {
			return;
		}

		const path = this.options.findHealthPath(member.service);
		if (path === undefined || member.service !== this.options.readService()) {
			return;
		}

		this.#hasProbed = true;
		const witness = await this.options.probe(path);
		const isSameServer = witness.kind === 'healthy' && witness.serverId === member.serverId;
		if (isSameServer && !this.options.isServerKnown()) {
			this.options.handleIdentified(readMemberFacts(member));
		}
	}
}

function readMemberFacts({serverId: id, service, slots, serverStartMs}: Member): ServerFacts {
	return {id, service, slots, startedAtMs: serverStartMs ?? 0};
}
