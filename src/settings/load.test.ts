import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test from 'ava';
import {daemonSettingsSchema} from './daemon-settings.ts';
import {loadSettings} from './load.ts';

const valid = `[daemon]
server = catalogue-1
service = catalogue
data_centre = est-a
region = qc-est
address = 127.0.0.1
[listeners]
caller_port = 0
local_port = 0
peer_port = 0
admin_port = 0
[backend]
port = 4000
[keys]
peer = peer-key-0123456789
admin = admin-key-0123456789
[platform]
table_url = http://127.0.0.1:8000
objects_url = http://127.0.0.1:8000
table_name = control
bucket = control
aws_region = local
access_key_id = id
secret_access_key = secret
`;

function writeSettings(text: string): string {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'settings-')), 'daemon.ini');
	writeFileSync(file, text);
	return file;
}

function readError(text: string): string {
	return loadSettings(writeSettings(text), daemonSettingsSchema)._unsafeUnwrapErr().message;
}

test('valid settings load with defaults', t => {
	const settings = loadSettings(writeSettings(valid), daemonSettingsSchema)._unsafeUnwrap();
	t.is(settings.backend.port, 4000);
	t.is(settings.log.level, 'info');
	t.is(settings.limits.header_timeout_ms, 5000);
});

test('the error for an invalid number names the file, section, key and value', t => {
	const message = readError(valid.replace('port = 4000', 'port = many'));
	t.regex(message, /daemon\.ini.*\[backend\].*"port".*"many".*not a whole number/v);
});

test('a number out of range is rejected', t => {
	t.regex(
		readError(valid.replace('port = 4000', 'port = 70000')),
		/"70000".*not in the range 0 to 65535/v,
	);
});

test('an unknown key is rejected', t => {
	t.regex(readError(`${valid}colour = red\n`), /\[platform\].*"colour".*"red".*not known/v);
});

test('an unknown section is rejected', t => {
	t.regex(readError(`${valid}[paint]\ncolour = red\n`), /section \[paint\] is not known/v);
});

test('a missing key is rejected', t => {
	t.regex(readError(valid.replace('region = qc-est\n', '')), /\[daemon\].*"region".*missing/v);
});

test('a missing section is rejected', t => {
	t.regex(
		readError(valid.replace('[backend]\nport = 4000\n', '')),
		/section \[backend\] is missing/v,
	);
});

test('a missing file is rejected', t => {
	const {message} = loadSettings('/nonexistent.ini', daemonSettingsSchema)._unsafeUnwrapErr();
	t.regex(message, /\/nonexistent\.ini.*missing file/v);
});
