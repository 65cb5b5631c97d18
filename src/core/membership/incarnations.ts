import { Map as PersistentMap } from 'immutable';
import type { BackendServerName, Incarnation } from '../model/names.js';
import type { SeatIncarnation } from '../model/peer-message.js';

/** Newest incarnation known of each seat. */
export type Incarnations = PersistentMap<BackendServerName, Incarnation>;

/** No incarnation is known. */
export const NO_INCARNATIONS: Incarnations = PersistentMap();

/**
 * Takes over what is newer than known.
 *
 * @param known - incarnations known so far
 * @param seen - incarnations that a peer has or tells
 * @returns the incarnations known now, and those that were news
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
