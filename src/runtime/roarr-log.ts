import './enable-roarr.js';
import { Roarr, ROARR, type MessageContext } from 'roarr';
import {
  formatCodeMessage,
  getResultCode,
  type CodeName,
  type Details,
} from '../core/errors/registry.js';
import type { Log, LogEntry } from '../core/logs/log-entry.js';

/** Longest time that lines are buffered. Batching saves a system call per line. */
const FLUSH_INTERVAL_MS = 200;
const FLUSH_BYTES = 65_536;

/** Buffer between the logger and standard output. */
class LineBuffer {
  #text = '';

  #timer: NodeJS.Timeout | null = null;

  add(line: string): void {
    this.#text += `${line}\n`;
    if (this.#text.length >= FLUSH_BYTES) {
      this.flush();
      return;
    }
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  flush(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#timer = null;
    if (this.#text === '') return;
    const text = this.#text;
    this.#text = '';
    process.stdout.write(text);
  }
}

const buffer = new LineBuffer();

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

/**
 * Enables logging and opens the log of one node.
 *
 * @param node - name of the node, which is part of every line
 * @returns the log, which writes JSON lines to standard output
 */
export function openLog(node: string): Log & { readonly flush: () => void } {
  ROARR.write = (line) => buffer.add(line);
  const logger = Roarr.child({ application: 'almondhoist', node });
  return {
    write: (entry) => {
      const context = toContext(entry);
      switch (entry.kind) {
        case 'violation':
          logger.error(context, messageOf(entry));
          break;
        case 'event':
          logger.warn(context, messageOf(entry));
          break;
        case 'routing':
        case 'placement':
        case 'dispatch':
        case 'gate-answer':
        case 'refusal':
        case 'entry-answer':
        case 'decision':
          logger.info(context, messageOf(entry));
          break;
      }
    },
    flush: () => buffer.flush(),
  };
}
