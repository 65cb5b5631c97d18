import './enable-roarr.js';
import { Roarr, ROARR, type MessageContext } from 'roarr';
import {
  formatCodeMessage,
  getResultCode,
  type CodeName,
  type Details,
} from '../core/errors/registry.js';
import type { Log, LogEntry } from '../core/logs/log-entry.js';
import { LineBuffer, type LineOutput } from './line-buffer.js';

function describe(code: CodeName, details: Details = {}): string {
  return `[${getResultCode(code).number}] ${formatCodeMessage(code, details)}`;
}

function messageOf(entry: LogEntry): string {
  switch (entry.kind) {
    case 'routing':
      return `route ${entry.service} to ${entry.choice ?? 'no backend server'}: ${describe(entry.code)}`;
    case 'placement':
      return `send order to its home ${entry.home}: ${describe(entry.code)}`;
    case 'dispatch':
      return `dispatch to ${entry.backendServer}`;
    case 'gate-answer':
      return `gate answer: ${describe(entry.code)}`;
    case 'refusal':
      return `refused at the entry: ${describe(entry.code)}`;
    case 'entry-answer':
      return `answer ${entry.status} to the caller: ${describe(entry.code)}`;
    case 'decision':
      return `${entry.stage}: ${describe(entry.code, entry.details)}`;
    case 'event':
      return describe(entry.code, entry.details);
    case 'violation':
      return describe('promiseBroken', { promise: entry.promise, detail: entry.detail });
  }
}

/** Entries hold only JSON values, which the logger's type cannot express for read-only types. */
function toContext(entry: LogEntry): MessageContext {
  const codeNumber = 'code' in entry ? getResultCode(entry.code).number : null;
  return { ...entry, codeNumber } as unknown as MessageContext;
}

type NodeLogger = typeof Roarr;

/**
 * The logger keeps each format string for ever, so a message is an argument and not a format: one
 * with a number in it would take up memory for each value.
 */
const MESSAGE_FORMAT = '%s';

function writeEntry(logger: NodeLogger, entry: LogEntry): void {
  const context = toContext(entry);
  const message = messageOf(entry);
  switch (entry.kind) {
    case 'violation':
      logger.error(context, MESSAGE_FORMAT, message);
      break;
    case 'event':
      logger.warn(context, MESSAGE_FORMAT, message);
      break;
    case 'routing':
    case 'placement':
    case 'dispatch':
    case 'gate-answer':
    case 'refusal':
    case 'entry-answer':
    case 'decision':
      logger.info(context, MESSAGE_FORMAT, message);
      break;
  }
}

/** Buffer of the process, as several nodes can share one. */
let buffer: LineBuffer | null = null;

/**
 * Enables logging and opens the log of one node.
 *
 * @param node - name of the node, which is part of every line
 * @param output - destination of the JSON lines, which the first log of the process determines
 * @returns the log
 */
export function openLog(
  node: string,
  output: LineOutput = process.stdout,
): Log & { readonly flush: () => void } {
  const logger = Roarr.child({ application: 'almondhoist', node });
  buffer ??= new LineBuffer(output, (lines) =>
    writeEntry(logger, { kind: 'event', code: 'linesLost', details: { lines } }),
  );
  const lines = buffer;
  // The writer that roarr installs ends the process when standard output cannot be written.
  ROARR.teardown?.();
  ROARR.write = (line) => lines.add(line);
  return {
    write: (entry) => writeEntry(logger, entry),
    flush: () => lines.flush(),
  };
}
