/**
 * HTTP server of the console: routes, sessions and CSRF checks.
 */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import polka from 'polka';
import {type PolicyStore} from '../../policy/policy-store.ts';
import {ConsoleHandler, type ConsolePage, type ConsolePost} from './console-handler.ts';
import {consoleStyle} from './page-frame.ts';
import {renderErrorPage, renderLoginPage} from './render.ts';
import {formatSessionCookie, SessionStore, type Session} from './session-store.ts';

const maxBodyBytes = 1_048_576;
/** Time for a whole request. */
const maxRequestMs = 30_000;
/** Form fields that the console itself reads; they are not part of the submitted fields. */
const reservedFields = new Set(['csrfToken', 'baseVersion', 'changeId', 'key']);

const securityHeaders = {
	'cache-control': 'no-store',
	'content-security-policy':
		"default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
	'referrer-policy': 'no-referrer',
	'x-content-type-options': 'nosniff',
};

export type ConsoleOptions = {
	readonly store: PolicyStore;
	readonly key: string;
	readonly address: string;
	/** 0 lets the operating system choose a free port. */
	readonly port: number;
	readonly readTimeMs: () => number;
};

/** Reads a posted form; returns undefined if the body exceeds `maxBodyBytes` or is cut off. */
async function readForm(request: IncomingMessage): Promise<URLSearchParams | undefined> {
	const chunks: Uint8Array[] = [];
	let byteCount = 0;
	try {
		for await (const chunk of request) {
			byteCount += (chunk as Uint8Array).length;
			if (byteCount > maxBodyBytes) {
				return undefined;
			}

			chunks.push(chunk as Uint8Array);
		}
	} catch {
		return undefined;
	}

	return new URLSearchParams(Buffer.concat(chunks).toString('utf8'));
}

function sendPage(response: ServerResponse, page: ConsolePage): void {
	response.writeHead(page.status, {
		...securityHeaders,
		'content-type': 'text/html; charset=utf-8',
		'content-length': Buffer.byteLength(page.html),
	});
	response.end(page.html);
}

/** Reads the submitted fields without the reserved ones. */
function readSubmittedFields(form: URLSearchParams): ReadonlyMap<string, string> {
	const submitted = new Map<string, string>();
	for (const [name, value] of form) {
		if (!reservedFields.has(name)) {
			submitted.set(name, value);
		}
	}

	return submitted;
}

function createPost(form: URLSearchParams, session: Session): ConsolePost {
	const version = form.get('baseVersion') ?? '';
	return {
		csrfToken: session.csrfToken,
		baseVersion: /^\d{1,15}$/v.test(version) ? Number(version) : 0,
		changeId: form.get('changeId') ?? '',
		author: form.get('author') ?? '',
		submitted: readSubmittedFields(form),
	};
}

/** Collects the fields of a post without a valid session that the login form preserves. */
function collectPreservedFields(form: URLSearchParams): ReadonlyMap<string, string> {
	const preservedFields = new Map(readSubmittedFields(form));
	const version = form.get('baseVersion');
	if (version !== null) {
		preservedFields.set('baseVersion', version);
	}

	return preservedFields;
}

type PageCreator = (post: ConsolePost) => Promise<ConsolePage>;

/** Serves the console's pages and manages its sessions. */
export class ConsoleServer {
	/**
	 * Starts to listen on the address and port of the options.
	 *
	 * @example
	 * const server = await ConsoleServer.open({store, key, address: '127.0.0.1', port: 0, readTimeMs: Date.now});
	 */
	static async open(options: ConsoleOptions): Promise<ConsoleServer> {
		const server = new ConsoleServer(options);
		await server.#listen();
		return server;
	}

	readonly #options: ConsoleOptions;
	readonly #sessions: SessionStore;
	readonly #handler: ConsoleHandler;
	readonly #server: Server;

	private constructor(options: ConsoleOptions) {
		this.#options = options;
		this.#sessions = SessionStore.create(options.key);
		this.#handler = ConsoleHandler.create(options.store);
		this.#server = createServer({requestTimeout: maxRequestMs, headersTimeout: maxRequestMs});
	}

	/** URL to open in a browser. */
	get url(): string {
		const {port} = this.#server.address() as AddressInfo;
		return `http://${this.#options.address}:${port}/`;
	}

	async close(): Promise<void> {
		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	async #listen(): Promise<void> {
		const app = polka({server: this.#server});
		app.get('/style.css', (_request, response) => {
			response.writeHead(200, {...securityHeaders, 'content-type': 'text/css; charset=utf-8'});
			response.end(consoleStyle);
		});
		app.get('/', async (request, response) => this.#handleFormPage(request, response));
		app.post('/login', async (request, response) => this.#handleLogin(request, response));
		app.post('/logout', async (request, response) => this.#handleLogout(request, response));
		const handler = this.#handler;
		this.#addFormRoute(app, '/edit', async post => handler.createEditPage(post));
		this.#addFormRoute(app, '/review', async post => handler.createReviewPage(post));
		this.#addFormRoute(app, '/apply', async post => handler.createApplyPage(post));
		const {address, port} = this.#options;
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			app.listen(port, address, () => {
				resolve();
			});
		});
	}

	#findSession(request: IncomingMessage): Session | undefined {
		return this.#sessions.findByCookie(request.headers.cookie, this.#options.readTimeMs());
	}

	async #handleFormPage(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const session = this.#findSession(request);
		if (session === undefined) {
			sendPage(response, {status: 401, html: renderLoginPage('', new Map())});
			return;
		}

		sendPage(response, await this.#handler.createFormPage(session.csrfToken));
	}

	async #handleLogin(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const form = await readForm(request);
		if (form === undefined) {
			this.#refuseBody(response);
			return;
		}

		const session = this.#sessions.open(form.get('key') ?? '', this.#options.readTimeMs());
		if (session === undefined) {
			const html = renderLoginPage('The key is wrong.', collectPreservedFields(form));
			sendPage(response, {status: 401, html});
			return;
		}

		response.setHeader('set-cookie', formatSessionCookie(session));
		if (form.has('baseVersion')) {
			sendPage(response, await this.#handler.createEditPage(createPost(form, session)));
			return;
		}

		response.writeHead(303, {...securityHeaders, location: '/'});
		response.end();
	}

	async #handleLogout(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const form = await readForm(request);
		const session = this.#findSession(request);
		const csrfToken = form?.get('csrfToken') ?? undefined;
		if (session !== undefined && this.#sessions.isCsrfTokenValid(session, csrfToken)) {
			this.#sessions.close(session);
		}

		response.writeHead(303, {...securityHeaders, location: '/'});
		response.end();
	}

	/** Adds a POST route that requires a session and the CSRF token of that session. */
	#addFormRoute(app: polka.Polka, path: string, createPage: PageCreator): void {
		app.post(path, async (request, response) => {
			const form = await readForm(request);
			if (form === undefined) {
				this.#refuseBody(response);
				return;
			}

			const session = this.#findSession(request);
			if (session === undefined) {
				const message = 'The session has ended. Log in again; your input is kept.';
				sendPage(response, {
					status: 401,
					html: renderLoginPage(message, collectPreservedFields(form)),
				});
				return;
			}

			if (!this.#sessions.isCsrfTokenValid(session, form.get('csrfToken') ?? undefined)) {
				const detail = 'The form does not belong to this session. Nothing was changed.';
				sendPage(response, {status: 403, html: renderErrorPage('Refused', detail)});
				return;
			}

			sendPage(response, await createPage(createPost(form, session)));
		});
	}

	#refuseBody(response: ServerResponse): void {
		const detail = `The form is larger than ${maxBodyBytes} bytes or was not received completely.`;
		response.setHeader('connection', 'close');
		sendPage(response, {status: 413, html: renderErrorPage('Refused', detail)});
	}
}
