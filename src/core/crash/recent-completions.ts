import type { Instant, Milliseconds } from '../model/time.js';

interface Completion {
  readonly fingerprint: string;
  readonly earlier: Completion | null;
}

/** Completions of one interval. A linked list makes each cost the same; they are read at crashes. */
interface CompletionList {
  readonly latest: Completion | null;
  readonly size: number;
}

/** Fingerprints of requests that a backend server has run to their end within the last seconds. */
export interface RecentCompletions {
  readonly current: CompletionList;
  readonly previous: CompletionList;
  /** Start of the interval of `current`. */
  readonly startedAt: Instant;
}

/** A completion is remembered for one to two intervals. */
const INTERVAL_MS: Milliseconds = 5000;

/** Maximum number of completions for each interval; frequent requests are among the first. */
const COMPLETION_LIMIT = 10_000;

const emptyList: CompletionList = { latest: null, size: 0 };

/** Completions before the first one. */
export const noCompletions: RecentCompletions = {
  current: emptyList,
  previous: emptyList,
  startedAt: Number.NEGATIVE_INFINITY,
};

function dropOld(completions: RecentCompletions, now: Instant): RecentCompletions {
  const elapsedMs = now - completions.startedAt;
  if (elapsedMs < INTERVAL_MS) return completions;
  const isPreviousRecent = elapsedMs < 2 * INTERVAL_MS;
  const previous = isPreviousRecent ? completions.current : emptyList;
  return { current: emptyList, previous, startedAt: now };
}

/**
 * Records that a request ran to its end.
 *
 * @param completions - the completions so far
 * @param fingerprint - fingerprint of the request
 * @param now - the current instant
 * @returns the completions with this one
 */
export function addCompletion(
  completions: RecentCompletions,
  fingerprint: string,
  now: Instant,
): RecentCompletions {
  const { current, previous, startedAt } = dropOld(completions, now);
  const { latest, size } = current;
  const isFull = size >= COMPLETION_LIMIT;
  const next = isFull ? current : { latest: { fingerprint, earlier: latest }, size: size + 1 };
  return { current: next, previous, startedAt };
}

/**
 * Lists the requests that ran to their end recently.
 *
 * @param completions - the completions
 * @param now - the current instant
 * @returns fingerprints of the last 5 s at least and of less than 10 s
 */
export function listCompleted(completions: RecentCompletions, now: Instant): ReadonlySet<string> {
  const { current, previous } = dropOld(completions, now);
  const fingerprints = new Set<string>();
  [current, previous].forEach(({ latest }) => {
    for (let item = latest; item !== null; item = item.earlier) fingerprints.add(item.fingerprint);
  });
  return fingerprints;
}
