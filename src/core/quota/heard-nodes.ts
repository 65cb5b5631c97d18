import type { Instant, Milliseconds } from '../model/time.js';

/** When the node that adds up the usage last heard from each node, itself included. */
export type HeardNodes = ReadonlyMap<string, Instant>;

/** A node without usage to report tells the aggregating node this often that it is there. */
export const PRESENCE_INTERVAL_MS: Milliseconds = 1000;

/** A node counts as heard for its interval, one interval of reports more and a slow turn. */
const HEARD_LIFETIME_MS: Milliseconds = 1500;

/**
 * Checks whether a node was heard lately.
 *
 * @param at - when it was last heard
 * @param now - the current instant
 * @returns whether it counts as being on this side of a cut
 */
export function isHeard(at: Instant, now: Instant): boolean {
  return now - at < HEARD_LIFETIME_MS;
}

/**
 * Computes the share of all nodes that the aggregating node has heard from lately. In a cut each
 * side has an aggregating node of its own; grants in proportion to the nodes on its side add up to
 * one rate.
 *
 * @param heard - when each node was last heard
 * @param nodes - number of nodes that share the quotas
 * @param now - the current instant
 * @returns a share from 0 to 1
 */
export function heardShare(heard: HeardNodes, nodes: number, now: Instant): number {
  let count = 0;
  heard.forEach((at) => {
    if (isHeard(at, now)) count += 1;
  });
  return Math.min(1, count / Math.max(1, nodes));
}
