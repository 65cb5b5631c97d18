import { Map as PersistentMap } from 'immutable';
import type { BackendServerName, Incarnation } from '../model/names.js';
import type { SeatIncarnation } from '../model/peer-message.js';

/** Newest known incarnation of the quota server of each seat. */
export type Incarnations = PersistentMap<BackendServerName, Incarnation>;

export const NO_INCARNATIONS: Incarnations = PersistentMap();

/**
 * Merges incarnations reported by a peer, and keeps the newest incarnation of each seat.
 *
 * @param known - incarnations known so far
 * @param seen - incarnations of a peer, or reported by it
 * @returns the merged incarnations, and those that were newer than known
 */
export function mergeIncarnations(
  known: Incarnations,
  seen: readonly SeatIncarnation[],
): { readonly known: Incarnations; readonly updates: readonly SeatIncarnation[] } {
  const updates = seen.filter(({ seat, incarnation }) => incarnation > (known.get(seat) ?? ''));
  return {
    known: updates.reduce((map, { seat, incarnation }) => map.set(seat, incarnation), known),
    updates,
  };
}
