/** Exchanges over a link between two sidecars, and their events. */
import {type Exchange, type ExchangeListener} from './exchange.ts';
import {type Link} from './link.ts';
import {type ReplyMetadata} from './messages.ts';

/** Events of an exchange over a link: those of the guard, and those of the connection. */
export type LinkListener = ExchangeListener & {
	/** Called with the metadata of each reply, before the answer, refusal or failure itself. */
	handleMetadata(metadata: ReplyMetadata): void;
	/** The connection could not be established; nothing was sent. */
	handleUnreachable(reason: string): void;
	/** The connection was lost after the request was sent. */
	handleLost(): void;
};

/** An exchange over a link. */
export type LinkExchange = Exchange & {
	/** Incarnation of the peer's guard; undefined until its hello frame has arrived. */
	readonly incarnation: string | undefined;
	/** Whether the peer's guard reports what it has taken of a body; undefined until its hello frame has arrived. */
	readonly reportsTaken: boolean | undefined;
	/** Asks the guard for such a report. */
	ping(): void;
	/** Closes the link without a cancel frame, if it still carries the listener's exchange. */
	abandon(listener: LinkListener): void;
};

/** Events of a link for the pool that owns it. */
export type LinkOwner = {
	handleIdle(link: Link): void;
	handleClosed(link: Link): void;
	/** The peer sent a frame that is not a valid reply; the link is then closed like a lost connection. */
	handleInvalidFrame(reason: string): void;
};
