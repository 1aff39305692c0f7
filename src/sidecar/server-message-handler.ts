/** Handles the messages on the control address, and asks the local server itself where they need that. */
import {type Logger} from '../reporting/logger.ts';
import {FormerServer} from './former-server.ts';
import {probeHealth} from './guard/health-probe.ts';
import {type LocalServer} from './guard/local-server.ts';
import {type ServerWitness} from './guard/local-server-state.ts';
import {type Judgement} from './guard/message-judgement.ts';
import {logIdentity} from './reporting/log-identity.ts';
import {type IgnoreCause, type MessageLog} from './reporting/message-log.ts';
import {ServerVerifier, type UnconfirmedMessage} from './server-verifier.ts';
import {type HeadCodec, type Member, type ServerMessage, type SidecarSettings} from './types.ts';

export type ServerMessageHandlerOptions = {
	readonly settings: Pick<SidecarSettings, 'serverAddress'>;
	readonly codec: Pick<HeadCodec, 'serverIdHeader'>;
	readonly server: LocalServer;
	readonly logger: Logger;
	readonly messageLog: Pick<MessageLog, 'recordIgnored'>;
	/** Service of the server by the settings in force. */
	readService(): string;
	/** Health path of a service; undefined while no configuration names it. */
	findHealthPath(service: string): string | undefined;
	/** Called when the state of the server may have changed. */
	handleChanged(): void;
};

export class ServerMessageHandler {
	/**
	 * @example
	 * const messages = ServerMessageHandler.create(options);
	 * const isAccepted = messages.handle(message, '127.0.0.1:40112');
	 */
	static create(options: ServerMessageHandlerOptions): ServerMessageHandler {
		return new ServerMessageHandler(options);
	}

	readonly #verifier: ServerVerifier;
	readonly #former: FormerServer;

	private constructor(private readonly options: ServerMessageHandlerOptions) {
		this.#verifier = ServerVerifier.create({
			probe: async path => this.#probeHealth(path),
			findHealthPath: service => options.findHealthPath(service),
			settle: (unconfirmed, witness) => {
				this.#settle(unconfirmed, witness);
			},
		});
		this.#former = this.#createFormerServer();
	}

	/**
	 * Handles a report or a leave message of the server; the message is acknowledged once this returns.
	 *
	 * @param sender - address that the message came from
	 * @returns false if the message contradicts what is known of the server
	 */
	handle(message: ServerMessage, sender: string): boolean {
		const before = this.options.server.state;
		const judgement = this.options.server.apply(message, performance.now());
		logIdentity(this.options.logger, {before, after: this.options.server.state, sender});
		if (judgement.kind !== 'unconfirmed') {
			this.#recordJudgement(judgement, message, sender);
			this.options.handleChanged();
			return judgement.kind !== 'refused';
		}

		const service =
			message.kind === 'report' ? message.report.service : this.options.server.state?.service;
		if (!this.#verifier.submit({message, sender}, service ?? '')) {
			this.#recordIgnored('refused', 'too many messages wait for the server to confirm', sender);
		}

		return true;
	}

	/** Sets what an earlier process of this sidecar announced, as read from the shared table. */
	setFormer(member: Member | undefined): void {
		this.#former.setMember(member);
		this.identifyFormer();
	}

	/** Asks the server whether it is still the one that was announced before. */
	identifyFormer(): void {
		void this.#former.probe();
	}

	close(): void {
		this.#verifier.close();
	}

	/** Decides on a message once the server itself was asked. */
	#settle({message, sender}: UnconfirmedMessage, witness: ServerWitness): void {
		const before = this.options.server.state;
		const judgement = this.options.server.settle(message, witness, performance.now());
		logIdentity(this.options.logger, {before, after: this.options.server.state, sender});
		this.#recordJudgement(judgement, message, sender);
		this.options.handleChanged();
	}

	#recordJudgement(judgement: Judgement, message: ServerMessage, sender: string): void {
		switch (judgement.kind) {
			case 'believed':
			case 'unconfirmed': {
				break;
			}

			case 'outdated': {
				const reason = `${message.kind} is older than what is known of the server`;
				this.#recordIgnored('outdated', reason, sender);
				break;
			}

			case 'refused': {
				this.#recordIgnored('refused', `${message.kind}: ${judgement.reason}`, sender);
				break;
			}
		}
	}

	#recordIgnored(cause: IgnoreCause, reason: string, sender: string): void {
		this.options.messageLog.recordIgnored({source: 'control', cause, reason, sender});
	}

	async #probeHealth(path: string): Promise<ServerWitness> {
		const {settings, codec} = this.options;
		return probeHealth(settings.serverAddress, path, codec.serverIdHeader);
	}

	#createFormerServer(): FormerServer {
		return FormerServer.create({
			readService: () => this.options.readService(),
			findHealthPath: service => this.options.findHealthPath(service),
			isServerKnown: () => this.options.server.state !== undefined,
			probe: async path => this.#probeHealth(path),
			handleFormer: facts => {
				this.options.server.setFormer(facts);
			},
			handleIdentified: facts => {
				this.options.server.restore(facts, performance.now());
				const {id: serverId, service} = facts;
				const fields = {serverId, service};
				this.options.logger.info(fields, 'identified the local server by a health probe');
				this.options.handleChanged();
			},
		});
	}
}
