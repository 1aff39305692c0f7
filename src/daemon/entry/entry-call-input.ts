/**
 * Input of one call at the entry; a type of its own, since both EntryCall and OnceCall take it.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type RequestBody} from '../http/request-body.ts';
import {type OnceCallOptions} from './attempt-runner.ts';
import {type CallOrigin} from './call-origin.ts';
import {type ClassifiedCall} from './classify-call.ts';

export type EntryCallInput = {
	readonly call: ClassifiedCall;
	readonly origin: CallOrigin;
	readonly body: RequestBody;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	readonly once?: OnceCallOptions;
};
