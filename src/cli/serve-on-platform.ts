import { watchFile } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { ok, ResultAsync, type Result } from 'neverthrow';
import { createPlatformConnection } from '../../platform/connect.js';
import { findSettingsFile } from '../../platform/settings-location.js';
import { parsePlatformSettings } from '../../platform/settings.js';
import type { Fault } from '../core/errors/fault.js';
import type { Milliseconds } from '../core/model/time.js';
import type { SidecarSettings } from '../core/settings/sidecar-settings.js';
import { monotonicClock } from '../runtime/monotonic-clock.js';
import { ReadPacer } from '../runtime/read-pacer.js';
import { openLog } from '../runtime/roarr-log.js';
import { Sidecar } from '../sidecar/sidecar.js';
import { exitCodes, type ExitCode } from './exit-code.js';
import { printFailure } from './print-failure.js';
import type { ProcessSignals } from './process-signals.js';
import { printFaults, type Terminal } from './terminal.js';

/** Time after the start in which a settings file that cannot be read may still be being written. */
const SETTINGS_WRITE_MS: Milliseconds = 2000;

const SETTINGS_RETRY_INTERVAL_MS: Milliseconds = 50;

/** The platform may change the file without a signal, so the file is polled. */
const SETTINGS_CHECK_INTERVAL_MS = 2000;

function readSettings(file: string): ResultAsync<SidecarSettings, readonly Fault[]> {
  return ResultAsync.fromPromise(readFile(file, 'utf8'), (error): readonly Fault[] => {
    const reason = error instanceof Error ? error.message : String(error);
    return [{ code: 'fileUnreadable', details: { file, reason }, source: file, place: '' }];
  }).andThen((text) => parsePlatformSettings(text, file));
}

/** Reads the settings of the process, whose file may be incomplete when the process starts. */
async function readFirstSettings(
  file: string,
  signals: ProcessSignals,
): Promise<Result<SidecarSettings, readonly Fault[]>> {
  const giveUpAt = monotonicClock.now() + SETTINGS_WRITE_MS;
  for (;;) {
    // eslint-disable-next-line no-await-in-loop
    const settings = await readSettings(file);
    const isFinal = signals.isStopRequested || monotonicClock.now() >= giveUpAt;
    if (settings.isOk() || isFinal) return settings;
    // eslint-disable-next-line no-await-in-loop
    await sleep(SETTINGS_RETRY_INTERVAL_MS);
  }
}

/** Logs an error that ends the process, since standard error is often not kept. */
function logFailure(log: ReturnType<typeof openLog>): void {
  process.off('uncaughtExceptionMonitor', printFailure);
  process.on('uncaughtExceptionMonitor', ({ message, stack }) => {
    const details = { reason: stack ?? message };
    log.write({ kind: 'event', code: 'processFailed', details });
    log.flush();
  });
}

function openSidecar(settings: SidecarSettings): Sidecar {
  const log = openLog(settings.node);
  logFailure(log);
  const pacer = new ReadPacer(monotonicClock);
  const platform = createPlatformConnection(settings.storeAddress, pacer);
  const { dialect, store, decodeValue, paths } = platform;
  return new Sidecar(settings, {
    clock: monotonicClock,
    timeOfDay: Date.now,
    random: Math.random,
    log,
    pacer,
    dialect,
    store,
    decodeValue,
    paths,
  });
}

/** Reloads the settings on SIGHUP and when the file has changed without a signal. */
function watchSettings(file: string, sidecar: Sidecar, signals: ProcessSignals): void {
  const reload = (): void => {
    void readSettings(file).match(
      (settings) => sidecar.reload(settings),
      (faults) => sidecar.reportReloadFailure(faults),
    );
  };
  signals.onReload(reload);
  watchFile(file, { interval: SETTINGS_CHECK_INTERVAL_MS, persistent: false }, reload);
}

/**
 * Runs a node with the settings file that the platform wrote, until SIGTERM or SIGINT.
 *
 * @param terminal - output for faults; the log goes to standard output
 * @param signals - signals of the process
 * @returns the exit code
 */
export async function serveOnPlatform(
  terminal: Terminal,
  signals: ProcessSignals,
): Promise<ExitCode> {
  signals.receive('stop-and-reload');
  const file = findSettingsFile(process.env);
  const settings = await readFirstSettings(file, signals);
  if (settings.isErr()) return printFaults(terminal, settings.error);
  if (signals.isStopRequested) return exitCodes.success;
  const sidecar = openSidecar(settings.value);
  watchSettings(file, sidecar, signals);
  const started = await Promise.race([sidecar.start(), signals.stopRequested.then(() => ok())]);
  if (started.isErr()) {
    printFaults(terminal, [started.error]);
    await sidecar.stop();
    return exitCodes.cannotStart;
  }
  await signals.stopRequested;
  const isDrained = await sidecar.stop();
  return isDrained ? exitCodes.success : exitCodes.promiseBroken;
}
