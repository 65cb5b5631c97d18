import { err, ok, type Result } from 'neverthrow';
import type { LogEntry } from '../logs/log-entry.js';
import type { RequestId } from '../model/names.js';
import type { LogLine } from './log-line.js';

/** A log entry about one call. */
export type CallEntry = Exclude<LogEntry, { readonly kind: 'event' | 'violation' | 'decision' }>;

/** All lines that belong to one root request. */
export interface SelectedLines {
  readonly rootId: RequestId;
  readonly calls: readonly LogLine<CallEntry>[];
  /** Broken promises whose detail mentions a call of the request. */
  readonly violations: readonly LogLine<Extract<LogEntry, { readonly kind: 'violation' }>>[];
}

/**
 * Returns the identifier of the call that a send belongs to. A send has the identifier of its call
 * followed by `.N`.
 *
 * @param id - identifier of a call or of a send
 * @returns identifier of the call
 */
export function callIdOf(id: RequestId): RequestId {
  return id.replace(/\.\d+$/, '');
}

function selectCallLine(line: LogLine): readonly LogLine<CallEntry>[] {
  const { entry } = line;
  switch (entry.kind) {
    case 'event':
    case 'violation':
    case 'decision':
      return [];
    case 'refusal':
    case 'placement':
    case 'routing':
    case 'dispatch':
    case 'gate-answer':
    case 'entry-answer':
      return [{ ...line, entry }];
  }
}

function selectViolationLine(line: LogLine): SelectedLines['violations'] {
  return line.entry.kind === 'violation' ? [{ ...line, entry: line.entry }] : [];
}

/** A refusal has no root identifier, since it happens before a call exists. */
function rootIdOf(entry: CallEntry): RequestId {
  return entry.kind === 'refusal' ? entry.requestId : entry.rootId;
}

/**
 * Compares whole words, so that an identifier is not found inside a longer one. Identifiers consist
 * of letters, digits and hyphens.
 */
function hasCallId(detail: string, ids: ReadonlySet<RequestId>): boolean {
  return detail.split(/[^\w.-]+/).some((word) => ids.has(callIdOf(word)));
}

/**
 * Selects the lines about the root request that a call belongs to.
 *
 * @param lines - log lines of several nodes
 * @param requestId - identifier of a root request, of a nested call, or of a send
 * @returns the lines, or `requestNotLogged` when no line is about the request
 */
export function selectLines(
  lines: readonly LogLine[],
  requestId: RequestId,
): Result<SelectedLines, 'requestNotLogged'> {
  const all = lines.flatMap(selectCallLine);
  const callId = callIdOf(requestId);
  const firstMatch = all.find(({ entry }) => callIdOf(entry.requestId) === callId);
  if (firstMatch === undefined) return err('requestNotLogged');
  const rootId = rootIdOf(firstMatch.entry);
  const calls = all.filter(({ entry }) => rootIdOf(entry) === rootId);
  const ids = new Set(calls.map(({ entry }) => callIdOf(entry.requestId)));
  const violations = lines
    .flatMap(selectViolationLine)
    .filter((line) => hasCallId(line.entry.detail, ids));
  return ok({ rootId, calls, violations });
}
