/**
 * Login sessions of the console, each with the CSRF token that its forms must carry.
 */
import {randomBytes} from 'node:crypto';
import {SecretKey} from '../../daemon/http/secret.ts';

const cookieName = 'primrosevalve-console';
const sessionLifetimeMs = 8 * 3_600_000;
const tokenBytes = 32;

/** Few sessions are open at a time; opening one beyond this number closes the oldest. */
const maxSessions = 100;

export type Session = {
	readonly id: string;
	/** Token that protects against cross-site request forgery. */
	readonly csrfToken: string;
	readonly expiresAtMs: number;
};

function createToken(): string {
	return randomBytes(tokenBytes).toString('base64url');
}

function readCookie(header: string | undefined): string | undefined {
	for (const part of (header ?? '').split(';')) {
		const [name, value] = part.trim().split('=', 2);
		if (name === cookieName) {
			return value;
		}
	}

	return undefined;
}

/** Opens and finds sessions. They are held in memory only, so a restart of the console ends them. */
export class SessionStore {
	/**
	 * @example
	 * const sessions = SessionStore.create(settings.admin.key);
	 */
	static create(key: string): SessionStore {
		return new SessionStore(key);
	}

	readonly #key: SecretKey;
	readonly #sessions = new Map<string, Session>();

	private constructor(key: string) {
		this.#key = SecretKey.create(key);
	}

	/** Opens a session; returns undefined if the key is wrong. */
	open(givenKey: string, nowMs: number): Session | undefined {
		if (!this.#key.isEqual(givenKey)) {
			return undefined;
		}

		this.#prune(nowMs);
		const session: Session = {
			id: createToken(),
			csrfToken: createToken(),
			expiresAtMs: nowMs + sessionLifetimeMs,
		};
		this.#sessions.set(session.id, session);
		return session;
	}

	/** Finds the unexpired session whose id is in the request's cookie. */
	findByCookie(cookieHeader: string | undefined, nowMs: number): Session | undefined {
		const session = this.#sessions.get(readCookie(cookieHeader) ?? '');
		return session !== undefined && session.expiresAtMs > nowMs ? session : undefined;
	}

	/** Whether the token that a form carries is the one of the session; compared in constant time. */
	isCsrfTokenValid(session: Session, csrfToken: string | undefined): boolean {
		return SecretKey.create(session.csrfToken).isEqual(csrfToken);
	}

	close(session: Session): void {
		this.#sessions.delete(session.id);
	}

	#prune(nowMs: number): void {
		for (const session of this.#sessions.values()) {
			if (session.expiresAtMs <= nowMs || this.#sessions.size >= maxSessions) {
				this.#sessions.delete(session.id);
			}
		}
	}
}

/**
 * Formats the `set-cookie` header that stores the id of a session in the browser.
 *
 * @example
 * response.setHeader('set-cookie', formatSessionCookie(session));
 */
export function formatSessionCookie(session: Session): string {
	const maxAgeSeconds = sessionLifetimeMs / 1000;
	return `${cookieName}=${session.id}; HttpOnly; SameSite=Strict; Path=/; Max-Age=${maxAgeSeconds}`;
}
