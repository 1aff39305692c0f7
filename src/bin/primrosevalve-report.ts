#!/usr/bin/env node
/**
 * Collects counters from the daemons and writes the report on service-level burn rates.
 */
import process from 'node:process';
import {reportProgram} from '../operator/commands/report-commands.ts';
import {runCli} from '../operator/commands/run-cli.ts';

process.exitCode = await runCli(reportProgram, process.argv.slice(2), process);
