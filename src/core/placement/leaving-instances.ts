import type { Instance, InstanceId } from '../directory/instance.js';
import type { Instant, Milliseconds } from '../model/time.js';

/** A run of a backend server that stated that it leaves. */
export interface LeavingInstance {
  /** Unix time of its start; a later run with the same identifier does not leave. */
  readonly startedAtUnixMs: number;
  readonly statedAt: Instant;
}

/** Backend servers that stated that they leave. */
export type LeavingInstances = ReadonlyMap<InstanceId, LeavingInstance>;

/** A server that leaves is gone long before this time. */
const LEAVING_LIFETIME_MS: Milliseconds = 600_000;

/**
 * Records that an instance stated that it leaves. The node beside it may forget this when it starts
 * anew, so each node remembers what it was told.
 *
 * @param before - the instances so far
 * @param instance - the instance
 * @param now - the current instant
 * @returns the instances from now on
 */
export function addLeavingInstance(
  before: LeavingInstances,
  { id, startedAtUnixMs }: Instance,
  now: Instant,
): LeavingInstances {
  if (before.get(id)?.startedAtUnixMs === startedAtUnixMs) return before;
  const recent = [...before].filter(([, { statedAt }]) => now - statedAt < LEAVING_LIFETIME_MS);
  return new Map([...recent, [id, { startedAtUnixMs, statedAt: now }]]);
}

/**
 * Checks whether an instance stated that it leaves.
 *
 * @param leaving - the recorded instances
 * @param instance - the instance
 * @returns whether this run of it is recorded
 */
export function isLeavingInstance(
  leaving: LeavingInstances,
  { id, startedAtUnixMs }: Instance,
): boolean {
  return leaving.get(id)?.startedAtUnixMs === startedAtUnixMs;
}
