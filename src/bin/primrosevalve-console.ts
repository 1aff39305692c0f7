#!/usr/bin/env node
/**
 * Web console for editing the policy document.
 */
import process from 'node:process';
import {consoleProgram} from '../operator/commands/console-command.ts';
import {runCli} from '../operator/commands/run-cli.ts';

process.exitCode = await runCli(consoleProgram, process.argv.slice(2), process);
