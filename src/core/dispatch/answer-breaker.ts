import type { Instant, Milliseconds } from '../model/time.js';
import type { DispatchEnd } from './dispatch-end.js';

/** Circuit breaker of a gate, which opens when its backend server sends answers without end. */
export type AnswerBreaker =
  /** Calls start. Only those that started since then count. */
  | { readonly kind: 'closed'; readonly since: Instant; readonly window: EndWindow }
  /** No call starts. */
  | { readonly kind: 'open'; readonly until: Instant; readonly openMs: Milliseconds }
  /** Single calls start as trials. */
  | {
      readonly kind: 'half-open';
      readonly openMs: Milliseconds;
      /** Calls that started since then are trials; the others say nothing of the present server. */
      readonly since: Instant;
      readonly nextTrialAt: Instant;
      /** Trials that ended as inconclusive. */
      readonly inconclusive: number;
    };

type HalfOpenBreaker = Extract<AnswerBreaker, { readonly kind: 'half-open' }>;

/** A call that has ended. */
export interface EndedCall {
  readonly end: DispatchEnd;
  readonly startedAt: Instant;
}

/** Ends of calls within one period, by their kind. */
export interface EndCounts {
  /** Answers that were read to their end, whether the server served or shed the call. */
  readonly whole: number;
  readonly excessive: number;
  readonly inconclusive: number;
}

/** Ends of calls within the present period and the one before. */
export interface EndWindow {
  readonly previous: EndCounts;
  readonly present: EndCounts;
  /** Start of the present period. */
  readonly since: Instant;
}

const noEnds: EndCounts = { whole: 0, excessive: 0, inconclusive: 0 };

/** Answers that open the breaker at the least. */
const MIN_FAULTY = 3;

/** A server that becomes faulty under load is found once its whole answers are two periods old. */
const PERIOD_MS: Milliseconds = 5000;

/** How long the breaker stays open at first; the time doubles while trials fail. */
const MIN_OPEN_MS: Milliseconds = 1000;
const MAX_OPEN_MS: Milliseconds = 8000;

/** Time after which another trial starts beside one that has not ended, such as a long poll. */
const TRIAL_INTERVAL_MS: Milliseconds = 1000;

/**
 * Creates a closed breaker.
 *
 * @param since - calls that started before do not count
 * @returns the breaker
 */
export function closedBreaker(since: Instant): AnswerBreaker {
  return { kind: 'closed', since, window: { previous: noEnds, present: noEnds, since } };
}

function openBreaker(openMs: Milliseconds, now: Instant): AnswerBreaker {
  return { kind: 'open', until: now + openMs, openMs };
}

function advanceWindow(window: EndWindow, now: Instant): EndWindow {
  const { present, since } = window;
  const elapsedMs = now - since;
  if (elapsedMs < PERIOD_MS) return window;
  if (elapsedMs >= 2 * PERIOD_MS) return { previous: noEnds, present: noEnds, since: now };
  return { previous: present, present: noEnds, since: since + PERIOD_MS };
}

function addEnd(counts: EndCounts, end: DispatchEnd): EndCounts {
  switch (end) {
    case 'answered':
    case 'shed':
      return { ...counts, whole: counts.whole + 1 };
    case 'excessive':
      return { ...counts, excessive: counts.excessive + 1 };
    case 'inconclusive':
      return { ...counts, inconclusive: counts.inconclusive + 1 };
    case 'failed':
      return counts;
  }
}

/**
 * Whether a server is faulty by the share of its excessive answers. Inconclusive ends can be due to
 * a caller or to the node, so they count only while the server gives no whole answer to anyone.
 */
function isFaulty({ previous, present }: EndWindow): boolean {
  const whole = previous.whole + present.whole;
  const excessive = previous.excessive + present.excessive;
  const inconclusive = previous.inconclusive + present.inconclusive;
  const faulty = whole === 0 ? excessive + inconclusive : excessive;
  return faulty >= MIN_FAULTY && faulty >= whole;
}

function recordClosed(
  breaker: Extract<AnswerBreaker, { readonly kind: 'closed' }>,
  end: DispatchEnd,
  now: Instant,
): AnswerBreaker {
  const advanced = advanceWindow(breaker.window, now);
  const window = { ...advanced, present: addEnd(advanced.present, end) };
  switch (end) {
    case 'excessive':
    case 'inconclusive':
      return isFaulty(window) ? openBreaker(MIN_OPEN_MS, now) : { ...breaker, window };
    case 'answered':
    case 'shed':
    case 'failed':
      return { ...breaker, window };
  }
}

/**
 * An excessive answer opens the breaker for longer. Inconclusive ends can be due to a caller, so
 * several are needed and the pause stays as it is; a whole answer to anybody closes the breaker. A
 * failed call closes it too, as connections that fail say nothing of answers without end.
 */
function recordTrial(breaker: HalfOpenBreaker, end: DispatchEnd, now: Instant): AnswerBreaker {
  switch (end) {
    case 'excessive':
      return openBreaker(Math.min(breaker.openMs * 2, MAX_OPEN_MS), now);
    case 'inconclusive': {
      const inconclusive = breaker.inconclusive + 1;
      return inconclusive >= MIN_FAULTY
        ? openBreaker(breaker.openMs, now)
        : { ...breaker, inconclusive, nextTrialAt: now };
    }
    case 'answered':
    case 'shed':
    case 'failed':
      return closedBreaker(now);
  }
}

/**
 * Records the end of a call. A server with some excessive answers among others stays in use, as a
 * caller could otherwise take it from everybody by asking for such answers.
 *
 * @param breaker - the breaker so far
 * @param call - the call that ended
 * @param now - the current instant
 * @returns the breaker from now on
 */
export function recordEnd(
  breaker: AnswerBreaker,
  { end, startedAt }: EndedCall,
  now: Instant,
): AnswerBreaker {
  switch (breaker.kind) {
    case 'closed':
      return startedAt < breaker.since ? breaker : recordClosed(breaker, end, now);
    case 'open':
      // A call that had started before.
      return breaker;
    case 'half-open':
      return startedAt < breaker.since ? breaker : recordTrial(breaker, end, now);
  }
}

/**
 * Records the start of a call, which is a trial while the breaker is half-open.
 *
 * @param breaker - the breaker so far
 * @param now - the current instant
 * @returns the breaker from now on
 */
export function recordStart(breaker: AnswerBreaker, now: Instant): AnswerBreaker {
  switch (breaker.kind) {
    case 'closed':
    case 'open':
      return breaker;
    case 'half-open':
      return { ...breaker, nextTrialAt: now + TRIAL_INTERVAL_MS };
  }
}

/**
 * Advances the breaker to the current instant.
 *
 * @param breaker - the breaker so far
 * @param now - the current instant
 * @returns the breaker, half-open once its time is over
 */
export function advanceBreaker(breaker: AnswerBreaker, now: Instant): AnswerBreaker {
  return breaker.kind === 'open' && now >= breaker.until
    ? { kind: 'half-open', openMs: breaker.openMs, since: now, nextTrialAt: now, inconclusive: 0 }
    : breaker;
}

/**
 * Checks whether a call may start.
 *
 * @param breaker - the breaker
 * @param now - the current instant
 * @returns whether the breaker lets a call start
 */
export function letsStart(breaker: AnswerBreaker, now: Instant): boolean {
  switch (breaker.kind) {
    case 'closed':
      return true;
    case 'open':
      return false;
    case 'half-open':
      return now >= breaker.nextTrialAt;
  }
}
