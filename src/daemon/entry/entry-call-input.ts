/**
 * What one call at the entry begins with.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type RequestBody} from '../http/request-body.ts';
import {type OnceSending} from './attempt-runner.ts';
import {type CallOrigin} from './call-origin.ts';
import {type ClassifiedCall} from './classify-call.ts';

export type EntryCallInput = {
	readonly call: ClassifiedCall;
	readonly origin: CallOrigin;
	readonly body: RequestBody;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly once?: OnceSending;
};
