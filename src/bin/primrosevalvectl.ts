#!/usr/bin/env node
/**
 * Command line tool for operators.
 */
import process from 'node:process';
import {controlProgram} from '../operator/commands/control-program.ts';
import {runCli} from '../operator/commands/run-cli.ts';

process.exitCode = await runCli(controlProgram, process.argv.slice(2), process);
