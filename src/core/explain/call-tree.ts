import type { BackendServerName, RequestId } from '../model/names.js';
import type { LogLine } from './log-line.js';
import { callIdOf, type CallEntry, type SelectedLines } from './select-lines.js';

type LineOf<Kind extends CallEntry['kind']> = LogLine<Extract<CallEntry, { readonly kind: Kind }>>;

/** An item in the timeline of a call. */
export type TimelineItem =
  | { readonly kind: 'line'; readonly line: LogLine<CallEntry> }
  /** A gate was chosen, but the logs hold no line from it about this send. */
  | { readonly kind: 'gate-lines-missing'; readonly gate: BackendServerName }
  | { readonly kind: 'call'; readonly call: ExplainedCall };

/** A call with its timeline, which includes the calls nested in it. */
export interface ExplainedCall {
  readonly requestId: RequestId;
  /** Node that received the call; null when the logs hold only lines from gates. */
  readonly entryNode: BackendServerName | null;
  /** True when several calls that ran on that node could have made this one. */
  readonly isParentAmbiguous: boolean;
  readonly timeline: readonly TimelineItem[];
}

/** A root request and its nested calls, as far as the log lines show them. */
export interface CallTree {
  readonly root: ExplainedCall | null;
  /** Nested calls whose parent is not in the log lines. */
  readonly orphans: readonly ExplainedCall[];
}

interface Parent {
  readonly sendId: RequestId | null;
  readonly isAmbiguous: boolean;
}

/** Lines with the same time are sorted by their step in the request path. */
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

/** Only valid for lines of the same node, whose clock and sequence never decrease. */
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

/**
 * Finds the first line from the node that received the call. A routing line alone does not identify
 * that node, since the home node of an order also writes routing lines.
 */
function findEntryLine(lines: readonly LogLine<CallEntry>[]): LogLine<CallEntry> | undefined {
  const entryLines = lines.filter((line) => !isGateLine(line));
  const entryNode =
    entryLines.find(({ entry }) => entry.kind !== 'routing')?.node ?? entryLines[0]?.node;
  return entryLines.find(({ node }) => node === entryNode);
}

/**
 * Finds the send whose execution made a nested call. A backend server makes its calls through the
 * node beside it, so the parent was running on the node that received the call.
 */
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

/** The sorted lines of one root request and the parent of each nested call. */
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

/** Places the lines of the gate directly after the routing line that chose it. */
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
    // Added after their routing line, or by buildCall when that line is missing.
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
    // The entry's answer comes last even when the clock of a gate is ahead of the entry's clock.
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
 * Sorts the lines of a root request by time and places each nested call below the call that made
 * it.
 *
 * @param selected - the lines of one root request
 * @returns the tree of calls
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
