import type { BackendServerName, RequestId } from '../model/names.js';
import type { LogLine } from './log-line.js';
import { callIdOf, type CallEntry, type SelectedLines } from './select-lines.js';

type LineOf<Kind extends CallEntry['kind']> = LogLine<Extract<CallEntry, { readonly kind: Kind }>>;

/** Something that happened to a call, in the order in which it is told. */
export type Happening =
  | { readonly kind: 'line'; readonly line: LogLine<CallEntry> }
  /** A choice named a gate whose lines about the send are missing. */
  | { readonly kind: 'gate-silent'; readonly gate: BackendServerName }
  | { readonly kind: 'call'; readonly call: ExplainedCall };

/** A call with everything that happened to it and below it. */
export interface ExplainedCall {
  readonly requestId: RequestId;
  /** Node at which the call came in; null when only lines of gates are there. */
  readonly entryNode: BackendServerName | null;
  /** True when several runs on that node could have made the call. */
  readonly isParentUnsure: boolean;
  readonly happenings: readonly Happening[];
}

/** A root request as far as the lines show it. */
export interface CallTree {
  readonly root: ExplainedCall | null;
  /** Deeper calls whose maker the lines do not show. */
  readonly orphans: readonly ExplainedCall[];
}

interface Parent {
  readonly sendId: RequestId | null;
  readonly isUnsure: boolean;
}

/** Lines of one millisecond on several nodes are told in the order of the request path. */
const PHASES: Readonly<Record<CallEntry['kind'], number>> = {
  refusal: 0,
  placement: 1,
  routing: 2,
  dispatch: 3,
  'gate-answer': 4,
  'entry-answer': 5,
};

function compare(left: LogLine<CallEntry>, right: LogLine<CallEntry>): number {
  return (
    left.time - right.time ||
    PHASES[left.entry.kind] - PHASES[right.entry.kind] ||
    left.node.localeCompare(right.node) ||
    left.sequence - right.sequence
  );
}

/** Lines of one node compare by its own clock and sequence, which both only rise. */
function isBefore(left: LogLine, right: LogLine): boolean {
  return left.time < right.time || (left.time === right.time && left.sequence < right.sequence);
}

function ofKind<Kind extends CallEntry['kind']>(
  lines: readonly LogLine<CallEntry>[],
  kind: Kind,
): readonly LineOf<Kind>[] {
  return lines.filter((line): line is LineOf<Kind> => line.entry.kind === kind);
}

function isGateLine({ entry }: LogLine<CallEntry>): boolean {
  return entry.kind === 'dispatch' || entry.kind === 'gate-answer';
}

function linesOfCall(
  lines: readonly LogLine<CallEntry>[],
  callId: RequestId,
): readonly LogLine<CallEntry>[] {
  return lines.filter(({ entry }) => callIdOf(entry.requestId) === callId);
}

/** The home of an order chooses too, so a choice alone does not show where a call came in. */
function entryLineOf(lines: readonly LogLine<CallEntry>[]): LogLine<CallEntry> | undefined {
  const own = lines.filter((line) => !isGateLine(line));
  const entryNode = own.find(({ entry }) => entry.kind !== 'routing')?.node ?? own[0]?.node;
  return own.find(({ node }) => node === entryNode);
}

/** A call comes in at the node beside the backend server whose run made it. */
function findParent(lines: readonly LogLine<CallEntry>[], first: LogLine<CallEntry>): Parent {
  const ends = ofKind(lines, 'gate-answer');
  const runs = ofKind(lines, 'dispatch').filter((start) => {
    const end = ends.find(
      ({ node, entry }) => node === start.node && entry.requestId === start.entry.requestId,
    );
    return (
      start.node === first.node &&
      isBefore(start, first) &&
      (end === undefined || isBefore(first, end))
    );
  });
  const last = runs.reduce<LineOf<'dispatch'> | null>(
    (latest, run) => (latest === null || isBefore(latest, run) ? run : latest),
    null,
  );
  return { sendId: last?.entry.requestId ?? null, isUnsure: runs.length > 1 };
}

interface Forest {
  readonly lines: readonly LogLine<CallEntry>[];
  readonly parents: ReadonlyMap<RequestId, Parent>;
  readonly build: (callId: RequestId) => ExplainedCall;
}

function childrenOf(forest: Forest, sendId: RequestId): readonly Happening[] {
  return [...forest.parents]
    .filter(([, parent]) => parent.sendId === sendId)
    .map(([callId]) => ({ kind: 'call', call: forest.build(callId) }) as const);
}

function sendHappenings(forest: Forest, sendId: RequestId): readonly Happening[] {
  const lines = forest.lines.filter(({ entry }) => entry.requestId === sendId);
  const told = (kind: CallEntry['kind']): readonly Happening[] =>
    lines.filter(({ entry }) => entry.kind === kind).map((line) => ({ kind: 'line', line }));
  return [...told('dispatch'), ...childrenOf(forest, sendId), ...told('gate-answer')];
}

/** Tells the lines of the gate directly below the choice that led to it. */
function choiceHappenings(forest: Forest, line: LineOf<'routing'>): readonly Happening[] {
  const { requestId, attempt, choice } = line.entry;
  const choiceItself: Happening = { kind: 'line', line };
  if (choice === null) return [choiceItself];
  const send = sendHappenings(forest, `${requestId}.${attempt}`);
  return send.length === 0
    ? [choiceItself, { kind: 'gate-silent', gate: choice }]
    : [choiceItself, ...send];
}

function happeningsOf(forest: Forest, line: LogLine<CallEntry>): readonly Happening[] {
  const { entry } = line;
  switch (entry.kind) {
    case 'routing':
      return choiceHappenings(forest, { ...line, entry });
    case 'refusal':
    case 'placement':
    case 'entry-answer':
      return [{ kind: 'line', line }];
    // These stand below their choice, or below no choice when its line is missing.
    case 'dispatch':
    case 'gate-answer':
      return [];
  }
}

function buildCall(forest: Forest, callId: RequestId): ExplainedCall {
  const lines = linesOfCall(forest.lines, callId);
  const choices = new Set(
    ofKind(lines, 'routing').map(({ entry }) => `${entry.requestId}.${entry.attempt}`),
  );
  const strays = [...new Set(lines.filter(isGateLine).map(({ entry }) => entry.requestId))].filter(
    (sendId) => !choices.has(sendId),
  );
  const isEnd = ({ entry }: LogLine<CallEntry>) => entry.kind === 'entry-answer';
  return {
    requestId: callId,
    entryNode: entryLineOf(lines)?.node ?? null,
    isParentUnsure: forest.parents.get(callId)?.isUnsure ?? false,
    // The clock of a gate may be ahead of the entry's, so the answer to the caller is told last.
    happenings: [
      ...lines.filter((line) => !isEnd(line)).flatMap((line) => happeningsOf(forest, line)),
      ...strays.flatMap((sendId) => sendHappenings(forest, sendId)),
      ...lines.filter(isEnd).flatMap((line) => happeningsOf(forest, line)),
    ],
  };
}

/**
 * Orders the lines of a root request by time and places deeper calls below the call that made
 * them.
 *
 * @param selected - the lines of one root request
 * @returns the calls as a tree
 */
export function orderCalls({ rootId, calls }: SelectedLines): CallTree {
  const lines = [...calls].sort(compare);
  const callIds = [...new Set(lines.map(({ entry }) => callIdOf(entry.requestId)))];
  const parents = new Map(
    callIds.flatMap((callId): readonly (readonly [RequestId, Parent])[] => {
      if (callId === rootId) return [];
      const first = entryLineOf(linesOfCall(lines, callId));
      const parent = first === undefined ? null : findParent(lines, first);
      return [[callId, parent ?? { sendId: null, isUnsure: false }]];
    }),
  );
  const forest: Forest = { lines, parents, build: (callId) => buildCall(forest, callId) };
  return {
    root: callIds.includes(rootId) ? buildCall(forest, rootId) : null,
    orphans: [...parents]
      .filter(([, { sendId }]) => sendId === null)
      .map(([callId]) => buildCall(forest, callId)),
  };
}
