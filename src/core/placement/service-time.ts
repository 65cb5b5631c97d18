import type { Instant, Milliseconds } from '../model/time.js';

/** Smoothed service time of the gates of one service, as they reported it. */
export interface ServiceTime {
  readonly meanMs: Milliseconds;
  readonly reportedAt: Instant;
}

/** Service time assumed while no gate of a service has reported its load recently. */
const DEFAULT_SERVICE_TIME_MS: Milliseconds = 50;

/** A load report older than this is ignored. */
export const LOAD_LIFETIME_MS: Milliseconds = 2000;

/** Weight of a new report in the mean. */
const REPORT_SHARE = 0.1;

function isRecent({ reportedAt }: ServiceTime, now: Instant): boolean {
  return now - reportedAt < LOAD_LIFETIME_MS;
}

/**
 * Updates the service time of a service with the report of one of its gates.
 *
 * @param before - the service time so far, or undefined before the first report
 * @param reportedMs - service time that the gate reported
 * @param now - the current instant
 * @returns the next service time
 */
export function recordServiceTime(
  before: ServiceTime | undefined,
  reportedMs: Milliseconds,
  now: Instant,
): ServiceTime {
  const isFirst = before === undefined || !isRecent(before, now);
  const meanMs = isFirst ? reportedMs : before.meanMs + (reportedMs - before.meanMs) * REPORT_SHARE;
  return { meanMs, reportedAt: now };
}

/**
 * Estimates the service time of a gate without a recent report. It is expected to be like the
 * others: a fixed time would keep a gate of a fast service unused once its report is old, and a new
 * one for ever.
 *
 * @param known - what the gates of its service reported
 * @param now - the current instant
 * @returns the expected service time
 */
export function expectServiceTime(known: ServiceTime | undefined, now: Instant): Milliseconds {
  return known !== undefined && isRecent(known, now) ? known.meanMs : DEFAULT_SERVICE_TIME_MS;
}
