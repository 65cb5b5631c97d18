import type { BackendServerName, RequestId } from '../model/names.js';
import type { LogLine } from './log-line.js';
import { callIdOf, type CallEntry, type SelectedLines } from './select-lines.js';

type LineOf<Kind extends CallEntry['kind']> = LogLine<Extract<CallEntry, { readonly kind: Kind }>>;

/** Something that happened to a call, in the order in which it is told. */
export type TimelineItem =
  | { readonly kind: 'line'; readonly line: LogLine<CallEntry> }
  /** A choice named a gate whose lines about the send are missing. */
  | { readonly kind: 'gate-lines-missing'; readonly gate: BackendServerName }
  | { readonly kind: 'call'; readonly call: ExplainedCall };

/** A call with everything that happened to it and below it. */
export interface ExplainedCall {
  readonly requestId: RequestId;
  /** Node at which the call came in; null when only lines of gates are there. */
  readonly entryNode: BackendServerName | null;
  /** True when several runs on that node could have made the call. */
  readonly isParentAmbiguous: boolean;
  readonly timeline: readonly TimelineItem[];
}

/** A root request as far as the lines show it. */
export interface CallTree {
  readonly root: ExplainedCall | null;
  /** Deeper calls whose maker the lines do not show. */
  readonly orphans: readonly ExplainedCall[];
}

interface Parent {
  readonly sendId: RequestId | null;
  readonly isAmbiguous: boolean;
}

/** Lines of one millisecond on several nodes are told in the order of the request path. */
const KIND_ORDER: Readonly<Record<CallEntry['kind'], number>> = {
  refusal: 0,
  placement: 1,
  routing: 2,
  dispatch: 3,
  'gate-answer': 4,
  'entry-answer': 5,
};

function compareLines(left: LogLine<CallEntry>, right: LogLine<CallEntry>): number {
  return (
    left.time - right.time ||
    KIND_ORDER[left.entry.kind] - KIND_ORDER[right.entry.kind] ||
    left.node.localeCompare(right.node) ||
    left.sequence - right.sequence
  );
}

/** Lines of one node compare by its own clock and sequence, which both only rise. */
function isBefore(left: LogLine, right: LogLine): boolean {
  return left.time < right.time || (left.time === right.time && left.sequence < right.sequence);
}

function selectKind<Kind extends CallEntry['kind']>(
  lines: readonly LogLine<CallEntry>[],
  kind: Kind,
): readonly LineOf<Kind>[] {
  return lines.filter((line): line is LineOf<Kind> => line.entry.kind === kind);
}

function isGateLine({ entry }: LogLine<CallEntry>): boolean {
  return entry.kind === 'dispatch' || entry.kind === 'gate-answer';
}

function selectCallLines(
  lines: readonly LogLine<CallEntry>[],
  callId: RequestId,
): readonly LogLine<CallEntry>[] {
  return lines.filter(({ entry }) => callIdOf(entry.requestId) === callId);
}

/** The home of an order chooses too, so a choice alone does not show where a call came in. */
function findEntryLine(lines: readonly LogLine<CallEntry>[]): LogLine<CallEntry> | undefined {
  const entryLines = lines.filter((line) => !isGateLine(line));
  const entryNode =
    entryLines.find(({ entry }) => entry.kind !== 'routing')?.node ?? entryLines[0]?.node;
  return entryLines.find(({ node }) => node === entryNode);
}

/** A call comes in at the node beside the backend server whose run made it. */
function findParent(lines: readonly LogLine<CallEntry>[], first: LogLine<CallEntry>): Parent {
  const gateAnswers = selectKind(lines, 'gate-answer');
  const runs = selectKind(lines, 'dispatch').filter((start) => {
    const end = gateAnswers.find(
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
  return { sendId: last?.entry.requestId ?? null, isAmbiguous: runs.length > 1 };
}

interface Forest {
  readonly lines: readonly LogLine<CallEntry>[];
  readonly parents: ReadonlyMap<RequestId, Parent>;
  readonly build: (callId: RequestId) => ExplainedCall;
}

function buildNestedCalls(forest: Forest, sendId: RequestId): readonly TimelineItem[] {
  return [...forest.parents]
    .filter(([, parent]) => parent.sendId === sendId)
    .map(([callId]) => ({ kind: 'call', call: forest.build(callId) }) as const);
}

function buildSendItems(forest: Forest, sendId: RequestId): readonly TimelineItem[] {
  const lines = forest.lines.filter(({ entry }) => entry.requestId === sendId);
  const itemsOfKind = (kind: CallEntry['kind']): readonly TimelineItem[] =>
    lines.filter(({ entry }) => entry.kind === kind).map((line) => ({ kind: 'line', line }));
  return [
    ...itemsOfKind('dispatch'),
    ...buildNestedCalls(forest, sendId),
    ...itemsOfKind('gate-answer'),
  ];
}

/** Tells the lines of the gate directly below the choice that led to it. */
function buildChoiceItems(forest: Forest, line: LineOf<'routing'>): readonly TimelineItem[] {
  const { requestId, attempt, choice } = line.entry;
  const choiceItem: TimelineItem = { kind: 'line', line };
  if (choice === null) return [choiceItem];
  const sendItems = buildSendItems(forest, `${requestId}.${attempt}`);
  return sendItems.length === 0
    ? [choiceItem, { kind: 'gate-lines-missing', gate: choice }]
    : [choiceItem, ...sendItems];
}

function buildLineItems(forest: Forest, line: LogLine<CallEntry>): readonly TimelineItem[] {
  const { entry } = line;
  switch (entry.kind) {
    case 'routing':
      return buildChoiceItems(forest, { ...line, entry });
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
  const lines = selectCallLines(forest.lines, callId);
  const chosenSendIds = new Set(
    selectKind(lines, 'routing').map(({ entry }) => `${entry.requestId}.${entry.attempt}`),
  );
  const unmatchedSendIds = [
    ...new Set(lines.filter(isGateLine).map(({ entry }) => entry.requestId)),
  ].filter((sendId) => !chosenSendIds.has(sendId));
  const isEntryAnswer = ({ entry }: LogLine<CallEntry>) => entry.kind === 'entry-answer';
  return {
    requestId: callId,
    entryNode: findEntryLine(lines)?.node ?? null,
    isParentAmbiguous: forest.parents.get(callId)?.isAmbiguous ?? false,
    // The clock of a gate may be ahead of the entry's, so the answer to the caller is told last.
    timeline: [
      ...lines
        .filter((line) => !isEntryAnswer(line))
        .flatMap((line) => buildLineItems(forest, line)),
      ...unmatchedSendIds.flatMap((sendId) => buildSendItems(forest, sendId)),
      ...lines.filter(isEntryAnswer).flatMap((line) => buildLineItems(forest, line)),
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
export function buildCallTree({ rootId, calls }: SelectedLines): CallTree {
  const lines = [...calls].sort(compareLines);
  const callIds = [...new Set(lines.map(({ entry }) => callIdOf(entry.requestId)))];
  const parents = new Map(
    callIds.flatMap((callId): readonly (readonly [RequestId, Parent])[] => {
      if (callId === rootId) return [];
      const first = findEntryLine(selectCallLines(lines, callId));
      const parent = first === undefined ? null : findParent(lines, first);
      return [[callId, parent ?? { sendId: null, isAmbiguous: false }]];
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
