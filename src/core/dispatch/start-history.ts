import type { Instant, Milliseconds } from '../model/time.js';
import type { RunningCall } from './dispatch-state.js';

interface RecordedStart {
  readonly call: RunningCall;
  readonly earlier: RecordedStart | null;
}

/**
 * Calls that started within at least the last second. Linked lists make a start cost the same at any
 * rate, while an array of a second's starts would be copied for each.
 */
export interface StartHistory {
  readonly current: RecordedStart | null;
  /** Starts of the second before `since`. */
  readonly previous: RecordedStart | null;
  readonly since: Instant;
}

/** History without starts. */
export const noStarts: StartHistory = {
  current: null,
  previous: null,
  since: Number.NEGATIVE_INFINITY,
};

const SECOND_MS: Milliseconds = 1000;

/**
 * Adds a call that starts.
 *
 * @param history - the starts so far
 * @param call - the call
 * @returns the history with the call
 */
export function addStart(history: StartHistory, call: RunningCall): StartHistory {
  const isOver = call.startedAt - history.since >= SECOND_MS;
  return isOver
    ? { current: { call, earlier: null }, previous: history.current, since: call.startedAt }
    : { ...history, current: { call, earlier: history.current } };
}

function listFrom(last: RecordedStart | null): readonly RunningCall[] {
  const calls: RunningCall[] = [];
  for (let at = last; at !== null; at = at.earlier) calls.push(at.call);
  return calls.reverse();
}

/**
 * Lists the starts, of which some may be more than a second ago.
 *
 * @param history - the starts so far
 * @returns the calls, oldest first
 */
export function listStarts({ current, previous }: StartHistory): readonly RunningCall[] {
  return [...listFrom(previous), ...listFrom(current)];
}
