import { readFile } from 'node:fs/promises';
import { command, flag, option, optional, string } from 'cmd-ts';
import { ResultAsync } from 'neverthrow';
import type { Fault } from '../core/errors/fault.js';
import { parseSettings } from '../core/settings/parse-settings.js';
import type { Settings } from '../core/settings/settings.js';
import { readTls, type TlsMaterial } from '../runtime/tls-material.js';
import type { Node } from '../runtime/node.js';
import { exitCodes, type ExitCode } from './exit-code.js';
import type { ProcessSignals } from './process-signals.js';
import { printFaults, type Terminal } from './terminal.js';

interface NodeSetup {
  readonly settings: Settings;
  readonly tls: TlsMaterial | null;
}

function createUnreadableFault(file: string, error: unknown): readonly Fault[] {
  const reason = error instanceof Error ? error.message : String(error);
  return [{ code: 'fileUnreadable', details: { file, reason }, source: file, place: '' }];
}

function readSettings(file: string): ResultAsync<NodeSetup, readonly Fault[]> {
  return ResultAsync.fromPromise(readFile(file, 'utf8'), (error) =>
    createUnreadableFault(file, error),
  )
    .andThen((text) => parseSettings(text, file))
    .andThen((settings) =>
      ResultAsync.fromPromise(readTls(settings.tls), (error) =>
        createUnreadableFault(file, error),
      ).map((tls) => ({ settings, tls })),
    );
}

async function serveUntilSignal(node: Node, signals: ProcessSignals): Promise<ExitCode> {
  await signals.stopRequested;
  const isDrained = await node.stop();
  return isDrained ? exitCodes.success : exitCodes.promiseBroken;
}

async function runNode(
  { settings, tls }: NodeSetup,
  terminal: Terminal,
  signals: ProcessSignals,
): Promise<ExitCode> {
  // Imported on demand, so that a node on the platform does not load modules it does not use.
  const runtime = await import('../runtime/node.js');
  const node = new runtime.Node(settings, tls);
  const started = await node.start();
  if (started.isOk()) return serveUntilSignal(node, signals);
  printFaults(terminal, [started.error]);
  await node.stop();
  return exitCodes.cannotStart;
}

/**
 * Builds the command `node --settings FILE` or `node --platform`.
 *
 * @param terminal - output for faults; the log goes to standard output
 * @param signals - signals of the process
 * @returns the command
 */
export function nodeCommand(terminal: Terminal, signals: ProcessSignals) {
  return command({
    name: 'node',
    description: 'Run the node beside a backend server until SIGTERM or SIGINT.',
    args: {
      settings: option({
        type: optional(string),
        long: 'settings',
        description: 'TOML file with settings',
      }),
      platform: flag({
        long: 'platform',
        description: 'run on the platform, with the settings file that the platform wrote',
      }),
    },
    handler: async ({ settings, platform }): Promise<ExitCode> => {
      if (platform) {
        const { serveOnPlatform } = await import('./serve-on-platform.js');
        return serveOnPlatform(terminal, signals);
      }
      if (settings === undefined) {
        terminal.printError('No value provided for --settings');
        return exitCodes.wrongUsage;
      }
      signals.receive('stop');
      const setup = await readSettings(settings);
      return setup.isOk()
        ? runNode(setup.value, terminal, signals)
        : printFaults(terminal, setup.error);
    },
  });
}
