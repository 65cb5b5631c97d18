import { resultCode, type CodeName } from '../errors/registry.js';
import type { ConsideredCandidate, LogEntry } from '../logs/log-entry.js';
import type { Caller } from '../model/call.js';
import type { RequestId } from '../model/names.js';
import type { CallTree, ExplainedCall, Happening } from './call-tree.js';
import type { LogLine } from './log-line.js';
import type { CallEntry, SelectedLines } from './select-lines.js';

const INDENT = '  ';
const TIME_WIDTH = 6;
const MIN_FAILED_CODE = 3000;

function indent(lines: readonly string[]): readonly string[] {
  return lines.map((line) => `${INDENT}${line}`);
}

function describeCode(code: CodeName): string {
  const { number, title, message } = resultCode(code);
  return `[${number}] ${title}: ${message}`;
}

function hintOf(code: CodeName): readonly string[] {
  return code === 'ok' ? [] : [`hint: ${resultCode(code).hint}`];
}

function describeCaller(caller: Caller): string {
  switch (caller.kind) {
    case 'account':
      return `account ${caller.account}`;
    case 'anonymous':
      return 'a caller without a key';
  }
}

function describeCandidate({ backendServer, zone, busy, limit }: ConsideredCandidate): string {
  const load =
    busy === null || limit === null ? 'load unknown' : `${busy} running and queued, limit ${limit}`;
  return `candidate ${backendServer} in ${zone}: ${load}`;
}

function describeChoice(
  entry: Extract<CallEntry, { readonly kind: 'routing' }>,
): readonly string[] {
  const result = entry.choice === null ? 'chose nobody' : `chose ${entry.choice}`;
  return [
    `attempt ${entry.attempt} from ${entry.zone}: ${result}: ${describeCode(entry.code)}`,
    ...(entry.candidates.length === 0
      ? [`${INDENT}no candidates`]
      : indent(entry.candidates.map(describeCandidate))),
  ];
}

function describeEntry(entry: CallEntry): readonly string[] {
  switch (entry.kind) {
    case 'refusal':
      return [
        `refused by a filter of the entry: ${describeCode(entry.code)}`,
        ...(entry.retryAfterMs > 0 ? [`retry after ${entry.retryAfterMs} ms`] : []),
        ...hintOf(entry.code),
      ];
    case 'placement':
      return [`order sent to its home ${entry.home}: ${describeCode(entry.code)}`];
    case 'routing':
      return describeChoice(entry);
    case 'dispatch':
      return [`dispatched to backend server ${entry.backendServer}`];
    case 'gate-answer':
      return entry.status === null
        ? [
            `gate of ${entry.backendServer} answered: ${describeCode(entry.code)}`,
            ...hintOf(entry.code),
          ]
        : [`backend server ${entry.backendServer} answered with status ${entry.status}`];
    case 'entry-answer':
      return [
        `answered with status ${entry.status} after ${Math.round(entry.durationMs)} ms: ${describeCode(entry.code)}`,
        ...hintOf(entry.code),
      ];
  }
}

function describeLine(line: LogLine<CallEntry>, start: number): readonly string[] {
  const [first = '', ...rest] = describeEntry(line.entry);
  const offset = `${line.time - start}`.padStart(TIME_WIDTH);
  return [
    `${offset} ms ${line.node}: ${first}`,
    ...rest.map((text) => `${INDENT.repeat(5)}${text}`),
  ];
}

function subjectOf(call: ExplainedCall): string {
  const entries = call.happenings.flatMap((happening) =>
    happening.kind === 'line' ? [happening.line.entry] : [],
  );
  const known = entries.flatMap((entry) => (entry.kind === 'refusal' ? [] : [entry]))[0];
  return known === undefined
    ? 'account and service are not in the log'
    : `${describeCaller(known.caller)}, service ${known.service}`;
}

function describeHappening(
  happening: Happening,
  start: number,
  describeDeeper: (call: ExplainedCall) => readonly string[],
): readonly string[] {
  switch (happening.kind) {
    case 'line':
      return describeLine(happening.line, start);
    case 'gate-silent':
      return [
        `${' '.repeat(TIME_WIDTH)}    no line of ${happening.gate} about this attempt: its log is missing, or the call did not reach it`,
      ];
    case 'call':
      return indent(indent(describeDeeper(happening.call)));
  }
}

function describeCall(call: ExplainedCall, name: string, start: number): readonly string[] {
  const doubt = call.isParentUnsure ? '; another run on this node may have made it' : '';
  const describeDeeper = (deeper: ExplainedCall) => describeCall(deeper, 'deeper call', start);
  return [
    `${name} ${call.requestId} at node ${call.entryNode ?? 'unknown'}: ${subjectOf(call)}${doubt}`,
    ...call.happenings.flatMap((happening) => describeHappening(happening, start, describeDeeper)),
  ];
}

/** A refusal does not tell whether the request was a root request or a deeper call. */
function nameOfRoot(root: ExplainedCall): string {
  const isRefused = root.happenings.every(
    (happening) => happening.kind === 'line' && happening.line.entry.kind === 'refusal',
  );
  return isRefused ? 'request' : 'root request';
}

function lastCode(root: ExplainedCall): CodeName | null {
  const codes = root.happenings.flatMap((happening): readonly CodeName[] => {
    if (happening.kind !== 'line') return [];
    const { entry } = happening.line;
    return entry.kind === 'refusal' || entry.kind === 'entry-answer' ? [entry.code] : [];
  });
  return codes.at(-1) ?? null;
}

function describeOutcome(root: ExplainedCall): string {
  const code = lastCode(root);
  if (code === null) return 'outcome: no line shows an answer to the caller';
  const { number, title } = resultCode(code);
  if (number === 0) return 'outcome: a backend server ran the request and its answer was returned';
  return number < MIN_FAILED_CODE
    ? `outcome: this request did not run ([${number}] ${title})`
    : `outcome: the request may have run ([${number}] ${title})`;
}

function describeViolation(
  { node, time, entry }: LogLine<Extract<LogEntry, { readonly kind: 'violation' }>>,
  start: number,
): string {
  const offset = `${time - start}`.padStart(TIME_WIDTH);
  return `${offset} ms ${node}: broken promise ${entry.promise}: ${entry.detail}`;
}

/**
 * Describes a root request in plain words.
 *
 * @param selected - its lines
 * @param tree - its calls
 * @param asked - identifier that was asked for
 * @returns lines of text
 */
export function describeRequest(
  selected: SelectedLines,
  { root, orphans }: CallTree,
  asked: RequestId,
): readonly string[] {
  const { rootId, calls, violations } = selected;
  const start = calls.reduce((earliest, { time }) => Math.min(earliest, time), Infinity);
  const nodes = new Set(calls.map(({ node }) => node));
  return [
    ...(asked === rootId ? [] : [`${asked} belongs to the root request ${rootId}`]),
    ...(root === null
      ? [`root request ${rootId}: no line of its entry`]
      : describeCall(root, nameOfRoot(root), start)),
    ...orphans.flatMap((call) => indent(describeCall(call, 'deeper call of unknown maker', start))),
    ...violations.map((line) => describeViolation(line, start)),
    ...(root === null ? [] : [describeOutcome(root)]),
    `${calls.length} ${calls.length === 1 ? 'line' : 'lines'} of ${nodes.size} ${nodes.size === 1 ? 'node' : 'nodes'}; the clocks of different nodes may differ`,
  ];
}
