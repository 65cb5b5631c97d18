import { Map as PersistentMap, Set as PersistentSet } from 'immutable';
import type { Feedback } from '../model/call.js';
import type { RequestId, ServiceName } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';
import { step, type Decision, type Step } from '../task/decision.js';
import type { RunEffect, RunMessage, RunReport } from './run-message.js';

/** Maximum call depth, which ends cycles in a call graph; the deepest real chain is 8 calls. */
const DEPTH_MAX = 16;

/** Maximum number of failed nested calls of one run; further calls of the run are refused. */
const FAILED_MAX = 256;

/** Maximum number of services with a reported admit fraction; the lowest fractions are kept. */
const FEEDBACK_MAX = 8;

type RunStart = Extract<RunMessage, { readonly kind: 'run-started' }>;
type ChildStart = Extract<RunMessage, { readonly kind: 'child-started' }>;
type ChildEnd = Extract<RunMessage, { readonly kind: 'child-ended' }>;
type Refusal = Extract<RunEffect, { readonly kind: 'child-refused' }>['code'];

/** A nested call that has not ended. */
interface Child {
  readonly fingerprint: string;
  readonly reserved: number;
}

/** A call that is running in the backend server. */
interface Run {
  readonly start: RunStart;
  /** Retries used by repeats of this run and by nested calls that have ended. */
  readonly spent: number;
  /** Retries reserved for nested calls that are running. */
  readonly reserved: number;
  readonly children: PersistentMap<RequestId, Child>;
  readonly failed: PersistentSet<string>;
  readonly feedback: PersistentMap<ServiceName, number>;
  /** Time without a running nested call, up to `ownSince`. */
  readonly ownMs: Milliseconds;
  /** When the last nested call ended, or the run started; null while a nested call is running. */
  readonly ownSince: Instant | null;
}

/** Calls that are running in the backend server, by request identifier. */
export interface RunLedger {
  readonly runs: PersistentMap<RequestId, Run>;
}

/** Ledger without running calls. */
export const INITIAL_RUNS: RunLedger = { runs: PersistentMap() };

type RunStep = Step<RunLedger, RunEffect>;

function countRetriesLeft({ start, spent, reserved }: Run): number {
  return start.retries - spent - reserved;
}

function assertRetryBound(run: Run): readonly Violation[] {
  const { requestId, retries } = run.start;
  return assertPromise(
    'retry-bound',
    countRetriesLeft(run) >= 0,
    () =>
      `run ${requestId} may use ${retries} retries; ${run.spent} spent, ${run.reserved} reserved`,
  );
}

function startRun(ledger: RunLedger, start: RunStart, now: Instant): RunLedger {
  // A duplicate start must not give the run a new budget.
  if (ledger.runs.has(start.requestId)) return ledger;
  return {
    runs: ledger.runs.set(start.requestId, {
      start: { ...start, retries: Math.max(0, Math.floor(start.retries)) },
      spent: 0,
      reserved: 0,
      children: PersistentMap(),
      failed: PersistentSet(),
      feedback: PersistentMap(),
      ownMs: 0,
      ownSince: now,
    }),
  };
}

/** Finds the reason to refuse a nested call; null when it is permitted. */
function findRefusal(run: Run | undefined, child: ChildStart, now: Instant): Refusal | null {
  if (run === undefined || run.start.depth >= DEPTH_MAX) return 'contextInvalid';
  if (run.children.has(child.childId)) return 'contextInvalid';
  if (now >= run.start.deadline) return 'deadlineUnreachable';
  const isRepeat = run.failed.has(child.fingerprint);
  if ((isRepeat && countRetriesLeft(run) < 1) || run.failed.size >= FAILED_MAX)
    return 'retryBudgetSpent';
  return null;
}

function startChild(ledger: RunLedger, child: ChildStart, now: Instant): RunStep {
  const run = ledger.runs.get(child.parentId);
  const refusal = findRefusal(run, child, now);
  if (run === undefined || refusal !== null) {
    const code = refusal ?? 'contextInvalid';
    return step<RunLedger, RunEffect>(ledger, {
      kind: 'child-refused',
      childId: child.childId,
      code,
    });
  }
  const spent = run.spent + (run.failed.has(child.fingerprint) ? 1 : 0);
  // Half of the retries, rounded up, leaves some for parallel calls and for a repeat of this one.
  const reserved = Math.max(0, Math.ceil(countRetriesLeft({ ...run, spent }) / 2));
  const next: Run = {
    ...run,
    spent,
    reserved: run.reserved + reserved,
    children: run.children.set(child.childId, { fingerprint: child.fingerprint, reserved }),
    ownMs: run.ownMs + (run.ownSince === null ? 0 : now - run.ownSince),
    ownSince: null,
  };
  const { requestId, rootId, rootHash, caller, importance, depth, deadline } = run.start;
  return step<RunLedger, RunEffect>(
    { runs: ledger.runs.set(requestId, next) },
    ...assertRetryBound(next),
    {
      kind: 'child-permitted',
      childId: child.childId,
      inheritance: {
        parentId: requestId,
        rootId,
        rootHash,
        caller,
        importance,
        depth: depth + 1,
        deadline,
        retries: reserved,
      },
    },
  );
}

function mergeFeedback(
  known: PersistentMap<ServiceName, number>,
  feedback: readonly Feedback[],
): PersistentMap<ServiceName, number> {
  const merged = feedback.reduce(
    (all, { service, admitFraction }) =>
      all.set(service, Math.min(admitFraction, all.get(service) ?? 1)),
    known,
  );
  return merged.size <= FEEDBACK_MAX
    ? merged
    : merged
        .sortBy((admitFraction) => admitFraction)
        .take(FEEDBACK_MAX)
        .toMap();
}

function endChild(ledger: RunLedger, end: ChildEnd, now: Instant): RunStep {
  const run = ledger.runs.get(end.parentId);
  const child = run?.children.get(end.childId);
  if (run === undefined || child === undefined) return step(ledger);
  const children = run.children.delete(end.childId);
  const used = end.retriesSpent ?? child.reserved;
  const next: Run = {
    ...run,
    // A negative count must not add retries.
    spent: run.spent + Math.max(0, used),
    reserved: run.reserved - child.reserved,
    children,
    failed: end.isSuccess ? run.failed : run.failed.add(child.fingerprint),
    feedback: mergeFeedback(run.feedback, end.feedback),
    ownSince: children.isEmpty() ? now : null,
  };
  return step<RunLedger, RunEffect>(
    { runs: ledger.runs.set(end.parentId, next) },
    ...assertPromise(
      'retry-bound',
      used >= 0 && used <= child.reserved,
      () => `call ${end.childId} used ${used} retries of ${child.reserved}`,
    ),
  );
}

function createReport(run: Run, now: Instant): RunReport {
  return {
    requestId: run.start.requestId,
    // Running nested calls may still use their reserved retries, so these count as spent.
    retriesSpent: Math.min(run.start.retries, run.spent + run.reserved),
    ownLatencyMs: run.ownMs + (run.ownSince === null ? 0 : now - run.ownSince),
    feedback: [...run.feedback].map(([service, admitFraction]) => ({ service, admitFraction })),
  };
}

function endRun(ledger: RunLedger, requestId: RequestId, now: Instant): RunStep {
  const run = ledger.runs.get(requestId);
  if (run === undefined) return step(ledger);
  return step<RunLedger, RunEffect>(
    { runs: ledger.runs.delete(requestId) },
    ...assertRetryBound(run),
    ...[...run.children.keys()].map((childId) => ({ kind: 'cancel-child', childId }) as const),
    { kind: 'run-reported', report: createReport(run, now) },
  );
}

/**
 * Applies a message to the ledger of running calls.
 *
 * @param ledger - the running calls
 * @param message - the message
 * @param now - the current instant
 * @returns the next state and the effects
 */
export const decideRuns: Decision<RunLedger, RunMessage, RunEffect> = (
  ledger,
  message,
  now,
): RunStep => {
  switch (message.kind) {
    case 'run-started':
      return step(startRun(ledger, message, now));
    case 'child-started':
      return startChild(ledger, message, now);
    case 'child-ended':
      return endChild(ledger, message, now);
    case 'run-ended':
      return endRun(ledger, message.requestId, now);
  }
};
