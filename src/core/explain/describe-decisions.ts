import { getResultCode } from '../errors/registry.js';
import type { LogEntry } from '../logs/log-entry.js';
import type { RequestId } from '../model/names.js';
import type { LogLine } from './log-line.js';

type DecisionLine = LogLine<Extract<LogEntry, { readonly kind: 'decision' }>>;

const TIME_WIDTH_CHARACTERS = 6;

function selectDecisionLine(line: LogLine): readonly DecisionLine[] {
  return line.entry.kind === 'decision' ? [{ ...line, entry: line.entry }] : [];
}

function describeDecision({ node, time, entry }: DecisionLine, start: number): readonly string[] {
  const { number, title, hint } = getResultCode(entry.code);
  const inputs = Object.entries(entry.details).map(([name, value]) => `${name}=${value}`);
  const offset = `${time - start}`.padStart(TIME_WIDTH_CHARACTERS);
  return [
    `${offset} ms ${node} ${entry.stage}: [${number}] ${title}; ${inputs.join(' ')}`,
    ...(entry.code === 'ok' ? [] : [`${' '.repeat(TIME_WIDTH_CHARACTERS)}    hint: ${hint}`]),
  ];
}

/**
 * Describes the `decision` entries about one request, which nodes on the platform write.
 *
 * @param lines - log lines of several nodes
 * @param requestId - identifier of the request
 * @returns lines of text, sorted by time; empty when no decision is about the request
 */
export function describeDecisions(
  lines: readonly LogLine[],
  requestId: RequestId,
): readonly string[] {
  const found = lines
    .flatMap(selectDecisionLine)
    .filter(({ entry }) => entry.requestId === requestId)
    .sort((left, right) => left.time - right.time || left.sequence - right.sequence);
  const start = found[0]?.time ?? 0;
  return found.flatMap((line) => describeDecision(line, start));
}
