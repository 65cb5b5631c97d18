import { getResultCode, type CodeName } from '../errors/registry.js';
import type { ConsideredCandidate, LogEntry } from '../logs/log-entry.js';
import type { Caller } from '../model/call.js';
import type { RequestId } from '../model/names.js';
import type { CallTree, ExplainedCall, TimelineItem } from './call-tree.js';
import type { LogLine } from './log-line.js';
import type { CallEntry, SelectedLines } from './select-lines.js';

const INDENT = '  ';
const TIME_WIDTH_CHARACTERS = 6;
/** Requests that end with a lower code, apart from 0, did not run. */
const MIN_POSSIBLY_RUN_CODE = 3000;

function indent(lines: readonly string[]): readonly string[] {
  return lines.map((line) => `${INDENT}${line}`);
}

function describeCode(code: CodeName): string {
  const { number, title, message } = getResultCode(code);
  return `[${number}] ${title}: ${message}`;
}

function describeHint(code: CodeName): readonly string[] {
  return code === 'ok' ? [] : [`hint: ${getResultCode(code).hint}`];
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
  const result = entry.choice === null ? 'chose no backend server' : `chose ${entry.choice}`;
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
        `refused at the entry: ${describeCode(entry.code)}`,
        ...(entry.retryAfterMs > 0 ? [`retry after ${entry.retryAfterMs} ms`] : []),
        ...describeHint(entry.code),
      ];
    case 'placement':
      return [`order sent to its home node ${entry.home}: ${describeCode(entry.code)}`];
    case 'routing':
      return describeChoice(entry);
    case 'dispatch':
      return [`dispatched to backend server ${entry.backendServer}`];
    case 'gate-answer':
      return entry.status === null
        ? [
            `gate of ${entry.backendServer} answered: ${describeCode(entry.code)}`,
            ...describeHint(entry.code),
          ]
        : [`backend server ${entry.backendServer} answered with status ${entry.status}`];
    case 'entry-answer':
      return [
        `answered with status ${entry.status} after ${Math.round(entry.durationMs)} ms: ${describeCode(entry.code)}`,
        ...describeHint(entry.code),
      ];
  }
}

function describeLine(line: LogLine<CallEntry>, start: number): readonly string[] {
  const [first = '', ...rest] = describeEntry(line.entry);
  const offset = `${line.time - start}`.padStart(TIME_WIDTH_CHARACTERS);
  return [
    `${offset} ms ${line.node}: ${first}`,
    ...rest.map((text) => `${INDENT.repeat(5)}${text}`),
  ];
}

function describeSubject(call: ExplainedCall): string {
  const entries = call.timeline.flatMap((item) => (item.kind === 'line' ? [item.line.entry] : []));
  const known = entries.flatMap((entry) => (entry.kind === 'refusal' ? [] : [entry]))[0];
  return known === undefined
    ? 'account and service are not in the log'
    : `${describeCaller(known.caller)}, service ${known.service}`;
}

function describeTimelineItem(
  timelineItem: TimelineItem,
  start: number,
  describeNested: (call: ExplainedCall) => readonly string[],
): readonly string[] {
  switch (timelineItem.kind) {
    case 'line':
      return describeLine(timelineItem.line, start);
    case 'gate-lines-missing':
      return [
        `${' '.repeat(TIME_WIDTH_CHARACTERS)}    no log line from ${timelineItem.gate} about this attempt: its log is missing, or the call did not reach it`,
      ];
    case 'call':
      return indent(indent(describeNested(timelineItem.call)));
  }
}

function describeCall(call: ExplainedCall, name: string, start: number): readonly string[] {
  const ambiguityNote = call.isParentAmbiguous
    ? '; another call that ran on this node may have made it'
    : '';
  const describeNestedCall = (nestedCall: ExplainedCall) =>
    describeCall(nestedCall, 'nested call', start);
  return [
    `${name} ${call.requestId} at node ${call.entryNode ?? 'unknown'}: ${describeSubject(call)}${ambiguityNote}`,
    ...call.timeline.flatMap((child) => describeTimelineItem(child, start, describeNestedCall)),
  ];
}

/** A refusal does not record whether the request was a root request or a nested call. */
function describeRootKind(root: ExplainedCall): string {
  const isRefused = root.timeline.every(
    (element) => element.kind === 'line' && element.line.entry.kind === 'refusal',
  );
  return isRefused ? 'request' : 'root request';
}

function findLastCode(root: ExplainedCall): CodeName | null {
  const codes = root.timeline.flatMap((lineItem): readonly CodeName[] => {
    if (lineItem.kind !== 'line') return [];
    const { entry } = lineItem.line;
    return entry.kind === 'refusal' || entry.kind === 'entry-answer' ? [entry.code] : [];
  });
  return codes.at(-1) ?? null;
}

function describeOutcome(root: ExplainedCall): string {
  const code = findLastCode(root);
  if (code === null) return 'outcome: no log line shows a response to the caller';
  const { number, title } = getResultCode(code);
  if (number === 0)
    return 'outcome: a backend server ran the request and its response was returned';
  return number < MIN_POSSIBLY_RUN_CODE
    ? `outcome: this request did not run ([${number}] ${title})`
    : `outcome: the request may have run ([${number}] ${title})`;
}

function describeViolation(
  { node, time, entry }: LogLine<Extract<LogEntry, { readonly kind: 'violation' }>>,
  start: number,
): string {
  const offset = `${time - start}`.padStart(TIME_WIDTH_CHARACTERS);
  return `${offset} ms ${node}: broken promise ${entry.promise}: ${entry.detail}`;
}

/**
 * Describes what happened to a root request.
 *
 * @param selected - log lines of the request
 * @param tree - calls of the request
 * @param requestedId - identifier that the user passed
 * @returns lines of text
 */
export function describeRequest(
  selected: SelectedLines,
  { root, orphans }: CallTree,
  requestedId: RequestId,
): readonly string[] {
  const { rootId, calls, violations } = selected;
  const start = calls.reduce((earliest, { time }) => Math.min(earliest, time), Infinity);
  const nodes = new Set(calls.map(({ node }) => node));
  return [
    ...(requestedId === rootId ? [] : [`${requestedId} belongs to the root request ${rootId}`]),
    ...(root === null
      ? [`root request ${rootId}: no log line from its entry`]
      : describeCall(root, describeRootKind(root), start)),
    ...orphans.flatMap((call) =>
      indent(describeCall(call, 'nested call with unknown parent', start)),
    ),
    ...violations.map((line) => describeViolation(line, start)),
    ...(root === null ? [] : [describeOutcome(root)]),
    `${calls.length} log ${calls.length === 1 ? 'line' : 'lines'} from ${nodes.size} ${nodes.size === 1 ? 'node' : 'nodes'}; the clocks of different nodes may differ`,
  ];
}
