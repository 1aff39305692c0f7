/**
 * HTTP server of the console: sessions, tokens and routes.
 */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import polka from 'polka';
import {type PolicyStore} from '../../policy/policy-store.ts';
import {ConsoleHandler, type ConsolePage, type ConsolePost} from './console-handler.ts';
import {consoleStyle} from './page-frame.ts';
import {renderErrorPage, renderLoginPage} from './render.ts';
import {formatSessionCookie, Sessions, type Session} from './sessions.ts';

const maxBodyBytes = 1_048_576;
const controlFields = new Set(['csrfToken', 'baseVersion', 'changeId', 'key']);

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
	/** 0 lets the kernel choose. */
	readonly port: number;
	readonly readTimeMs: () => number;
};

/** Reads a posted form; undefined when it is too large or not whole. */
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

function answerPage(response: ServerResponse, page: ConsolePage): void {
	response.writeHead(page.status, {
		...securityHeaders,
		'content-type': 'text/html; charset=utf-8',
		'content-length': Buffer.byteLength(page.html),
	});
	response.end(page.html);
}

/** Reads the typed fields, without those that steer the console. */
function readTyped(form: URLSearchParams): ReadonlyMap<string, string> {
	const typed = new Map<string, string>();
	for (const [name, value] of form) {
		if (!controlFields.has(name)) {
			typed.set(name, value);
		}
	}

	return typed;
}

function createPost(form: URLSearchParams, session: Session): ConsolePost {
	const version = form.get('baseVersion') ?? '';
	return {
		csrfToken: session.csrfToken,
		baseVersion: /^\d{1,15}$/v.test(version) ? Number(version) : 0,
		changeId: form.get('changeId') ?? '',
		author: form.get('author') ?? '',
		typed: readTyped(form),
	};
}

/** Keeps what a post without a session carried, for the login form to bring back. */
function listKept(form: URLSearchParams): ReadonlyMap<string, string> {
	const kept = new Map(readTyped(form));
	const version = form.get('baseVersion');
	if (version !== null) {
		kept.set('baseVersion', version);
	}

	return kept;
}

type PageCreator = (post: ConsolePost) => Promise<ConsolePage>;

/** Owns the console's port and sessions. */
export class ConsoleServer {
	/**
	 * Opens the console.
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
	readonly #sessions: Sessions;
	readonly #handler: ConsoleHandler;
	readonly #server: Server;

	private constructor(options: ConsoleOptions) {
		this.#options = options;
		this.#sessions = Sessions.create(options.key);
		this.#handler = ConsoleHandler.create(options.store);
		this.#server = createServer();
	}

	/** Address to open in a browser. */
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
		app.get('/', async (request, response) => this.#handleForms(request, response));
		app.post('/login', async (request, response) => this.#handleLogin(request, response));
		app.post('/logout', async (request, response) => this.#handleLogout(request, response));
		const handler = this.#handler;
		this.#addPost(app, '/edit', async post => handler.createEditPage(post));
		this.#addPost(app, '/review', async post => handler.createReviewPage(post));
		this.#addPost(app, '/apply', async post => handler.createApplyPage(post));
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

	async #handleForms(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const session = this.#findSession(request);
		if (session === undefined) {
			answerPage(response, {status: 401, html: renderLoginPage('', new Map())});
			return;
		}

		answerPage(response, await this.#handler.createFormPage(session.csrfToken));
	}

	async #handleLogin(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const form = await readForm(request);
		if (form === undefined) {
			this.#refuseBody(response);
			return;
		}

		const session = this.#sessions.open(form.get('key') ?? '', this.#options.readTimeMs());
		if (session === undefined) {
			const html = renderLoginPage('The key is wrong.', listKept(form));
			answerPage(response, {status: 401, html});
			return;
		}

		response.setHeader('set-cookie', formatSessionCookie(session));
		if (form.has('baseVersion')) {
			answerPage(response, await this.#handler.createEditPage(createPost(form, session)));
			return;
		}

		response.writeHead(303, {...securityHeaders, location: '/'});
		response.end();
	}

	async #handleLogout(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const form = await readForm(request);
		const session = this.#findSession(request);
		const csrfToken = form?.get('csrfToken') ?? undefined;
		if (session !== undefined && this.#sessions.isOwnForm(session, csrfToken)) {
			this.#sessions.close(session);
		}

		response.writeHead(303, {...securityHeaders, location: '/'});
		response.end();
	}

	/** Adds a route that only a form of the own session may post to. */
	#addPost(app: polka.Polka, path: string, createPage: PageCreator): void {
		app.post(path, async (request, response) => {
			const form = await readForm(request);
			if (form === undefined) {
				this.#refuseBody(response);
				return;
			}

			const session = this.#findSession(request);
			if (session === undefined) {
				const message = 'The session has ended. Log in again; what was typed is kept.';
				answerPage(response, {status: 401, html: renderLoginPage(message, listKept(form))});
				return;
			}

			if (!this.#sessions.isOwnForm(session, form.get('csrfToken') ?? undefined)) {
				const detail = 'The form does not belong to this session. Nothing was changed.';
				answerPage(response, {status: 403, html: renderErrorPage('Refused', detail)});
				return;
			}

			answerPage(response, await createPage(createPost(form, session)));
		});
	}

	#refuseBody(response: ServerResponse): void {
		const detail = `The form is larger than ${maxBodyBytes} bytes or did not arrive whole.`;
		response.setHeader('connection', 'close');
		answerPage(response, {status: 413, html: renderErrorPage('Refused', detail)});
	}
}
