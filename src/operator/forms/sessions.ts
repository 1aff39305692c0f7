/**
 * Sessions of the console: who gave the key, and the token that each form must carry.
 */
import {randomBytes} from 'node:crypto';
import {SecretKey} from '../../daemon/http/secret.ts';

const cookieName = 'primrosevalve-console';
const sessionLifetimeMs = 8 * 3_600_000;
const tokenBytes = 32;

/** Sessions are few; the oldest ends when there are more. */
const maxSessions = 100;

export type Session = {
	readonly id: string;
	/** Token against cross-site posts. */
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

/** Open sessions, in memory only. */
export class Sessions {
	/**
	 * @example
	 * const sessions = Sessions.create(settings.admin.key);
	 */
	static create(key: string): Sessions {
		return new Sessions(key);
	}

	readonly #key: SecretKey;
	readonly #sessions = new Map<string, Session>();

	private constructor(key: string) {
		this.#key = SecretKey.create(key);
	}

	/** Opens a session for the holder of the key; undefined for a wrong one. */
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

	/** Finds the session that a request's cookie names. */
	findByCookie(cookieHeader: string | undefined, nowMs: number): Session | undefined {
		const session = this.#sessions.get(readCookie(cookieHeader) ?? '');
		return session !== undefined && session.expiresAtMs > nowMs ? session : undefined;
	}

	/** Tells whether a form carries the token of its session. */
	isOwnForm(session: Session, csrfToken: string | undefined): boolean {
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
 * Formats the cookie that names a session.
 *
 * @example
 * response.setHeader('set-cookie', formatSessionCookie(session));
 */
export function formatSessionCookie(session: Session): string {
	const maxAgeSeconds = sessionLifetimeMs / 1000;
	return `${cookieName}=${session.id}; HttpOnly; SameSite=Strict; Path=/; Max-Age=${maxAgeSeconds}`;
}
