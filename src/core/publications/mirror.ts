import type { Instant, Milliseconds } from '../model/time.js';
import type { Publication } from './publication.js';

/** A removed value stays known this long, so that a peer that lags cannot bring it back. */
const TOMBSTONE_LIFETIME_MS: Milliseconds = 60_000;

/** A copy of everything that the platform publishes. */
export interface Mirror {
  readonly publications: ReadonlyMap<string, Publication>;
  /** When each removal was learned. */
  readonly removedAt: ReadonlyMap<string, Instant>;
  /** Everything up to this revision is known. */
  readonly revision: number;
}

/** A mirror before the first read. */
export const emptyMirror: Mirror = { publications: new Map(), removedAt: new Map(), revision: 0 };

/**
 * Applies changes. They may come twice, late and from several readers; for each key the highest
 * revision stays.
 *
 * @param mirror - the mirror
 * @param changes - changed values
 * @param upTo - revision up to which the changes are complete
 * @param now - the current instant
 * @returns the mirror; the same one when nothing is new
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
    if (now - at < TOMBSTONE_LIFETIME_MS) return;
    removedAt.delete(key);
    publications.delete(key);
  });
  return { publications, removedAt, revision };
}

/**
 * Applies a whole listing: what it does not hold and is older than it was removed meanwhile.
 *
 * @param mirror - the mirror
 * @param listing - all values
 * @param asOf - revision at which the listing began
 * @param now - the current instant
 * @returns the mirror
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
 * Lists what changed after a revision, for a peer that is behind.
 *
 * @param mirror - the mirror
 * @param revision - revision that the peer knows
 * @returns the changes
 */
export function changesAfter(mirror: Mirror, revision: number): readonly Publication[] {
  return [...mirror.publications.values()].filter((item) => item.revision > revision);
}
