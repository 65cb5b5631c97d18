import type { Instant, Milliseconds } from '../model/time.js';
import type { Publication } from './publication.js';

/** Time for which a removal is kept, so that a lagging peer cannot restore the value. */
const REMOVAL_LIFETIME_MS: Milliseconds = 60_000;

/** Copy of all values that the platform publishes. */
export interface Mirror {
  readonly publications: ReadonlyMap<string, Publication>;
  /** Instant at which each removal became known, by key. */
  readonly removedAt: ReadonlyMap<string, Instant>;
  /** All changes up to this revision are known. */
  readonly revision: number;
}

/** Mirror before the first read. */
export const emptyMirror: Mirror = { publications: new Map(), removedAt: new Map(), revision: 0 };

/**
 * Applies changes. They may arrive twice, late or from several readers; for each key, the value
 * with the highest revision is kept.
 *
 * @param mirror - the mirror
 * @param changes - changed values
 * @param upTo - revision up to which the changes are complete
 * @param now - the current instant
 * @returns the next mirror, or the same object when nothing changed
 */
export function applyChanges(
  mirror: Mirror,
  changes: readonly Publication[],
  upTo: number,
  now: Instant,
): Mirror {
  const newer = changes.filter(
    ({ key, revision }) => revision > (mirror.publications.get(key)?.revision ?? 0),
  );
  const revision = Math.max(mirror.revision, upTo);
  if (newer.length === 0) return revision === mirror.revision ? mirror : { ...mirror, revision };
  const publications = new Map(mirror.publications);
  const removedAt = new Map(mirror.removedAt);
  newer.forEach((publication) => {
    publications.set(publication.key, publication);
    if (publication.text === null) removedAt.set(publication.key, now);
    else removedAt.delete(publication.key);
  });
  removedAt.forEach((at, key) => {
    if (now - at < REMOVAL_LIFETIME_MS) return;
    removedAt.delete(key);
    publications.delete(key);
  });
  return { publications, removedAt, revision };
}

/**
 * Applies a complete listing. A known value that is missing from it, and not newer than it, counts
 * as removed.
 *
 * @param mirror - the mirror
 * @param listing - all values
 * @param asOf - revision at which the listing began
 * @param now - the current instant
 * @returns the next mirror
 */
export function applyListing(
  mirror: Mirror,
  listing: readonly Publication[],
  asOf: number,
  now: Instant,
): Mirror {
  const listed = new Set(listing.map(({ key }) => key));
  const removals = [...mirror.publications.values()]
    .filter(({ key, text, revision }) => text !== null && !listed.has(key) && revision <= asOf)
    .map(({ key }): Publication => ({ key, revision: asOf, text: null }));
  return applyChanges(mirror, [...listing, ...removals], asOf, now);
}

/**
 * Lists the changes after a revision, for a peer that is behind.
 *
 * @param mirror - the mirror
 * @param revision - last revision known to the peer
 * @returns the changes
 */
export function listChangesAfter(mirror: Mirror, revision: number): readonly Publication[] {
  return [...mirror.publications.values()].filter((item) => item.revision > revision);
}
