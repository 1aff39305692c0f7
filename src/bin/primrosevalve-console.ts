#!/usr/bin/env node
/**
 * The console of forms for the policy document.
 */
import process from 'node:process';
import {consoleProgram} from '../operator/commands/console-command.ts';
import {runCli} from '../operator/commands/run-cli.ts';

process.exitCode = await runCli(consoleProgram, process.argv.slice(2), process);
