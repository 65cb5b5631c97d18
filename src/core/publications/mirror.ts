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
  /** Removals up to this revision may be unknown or forgotten; changes after it are complete. */
  readonly forgottenRevision: number;
}

/** Changes after a revision, for a peer. */
export interface ChangeSet {
  readonly changes: readonly Publication[];
  /** Revision up to which the changes are complete. */
  readonly revision: number;
  /** Revision after which the changes are complete; not sent by nodes of an earlier version. */
  readonly since?: number | undefined;
  /** Whether the changes are all values, so that others were removed. */
  readonly isListing?: boolean | undefined;
}

/** Mirror before the first read. */
export const emptyMirror: Mirror = {
  publications: new Map(),
  removedAt: new Map(),
  revision: 0,
  forgottenRevision: 0,
};

/** Sets values, and forgets old removals. */
function setPublications(mirror: Mirror, values: readonly Publication[], now: Instant): Mirror {
  const publications = new Map(mirror.publications);
  const removedAt = new Map(mirror.removedAt);
  let { forgottenRevision } = mirror;
  values.forEach((publication) => {
    publications.set(publication.key, publication);
    if (publication.text === null) removedAt.set(publication.key, now);
    else removedAt.delete(publication.key);
  });
  removedAt.forEach((at, key) => {
    if (now - at < REMOVAL_LIFETIME_MS) return;
    forgottenRevision = Math.max(forgottenRevision, publications.get(key)?.revision ?? 0);
    removedAt.delete(key);
    publications.delete(key);
  });
  return { publications, removedAt, revision: mirror.revision, forgottenRevision };
}

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
    ({ key, revision }) =>
      // An unknown value up to the known revision was removed, perhaps before this node started.
      revision > (mirror.publications.get(key)?.revision ?? mirror.revision),
  );
  const revision = Math.max(mirror.revision, upTo);
  if (newer.length === 0) return revision === mirror.revision ? mirror : { ...mirror, revision };
  return setPublications({ ...mirror, revision }, newer, now);
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
  const newer = [...listing, ...removals].filter(
    ({ key, revision }) => revision > (mirror.publications.get(key)?.revision ?? 0),
  );
  const revision = Math.max(mirror.revision, asOf);
  // A listing does not show the removal of values that this node never knew.
  const forgottenRevision = Math.max(mirror.forgottenRevision, asOf);
  const next = { ...mirror, revision, forgottenRevision };
  return newer.length === 0 ? next : setPublications(next, newer, now);
}

/**
 * Collects the changes after a revision, for a peer that is behind. Where removals since then have
 * may be unknown, all values are collected.
 *
 * @param mirror - the mirror
 * @param since - last revision known to the peer
 * @returns the changes
 */
export function collectChanges(mirror: Mirror, since: number): ChangeSet {
  const { revision, forgottenRevision } = mirror;
  const values = [...mirror.publications.values()];
  if (since > 0 && since < forgottenRevision) {
    const changes = values.filter(({ text }) => text !== null);
    return { changes, revision, since: 0, isListing: true };
  }
  return { changes: values.filter((value) => value.revision > since), revision, since };
}

/**
 * Applies changes that a peer collected. After a gap, the changes count but the revision stays, so
 * that the missing ones are requested.
 *
 * @param mirror - the mirror
 * @param changeSet - the changes
 * @param now - the current instant
 * @returns the next mirror
 */
export function applyChangeSet(
  mirror: Mirror,
  { changes, revision, since, isListing }: ChangeSet,
  now: Instant,
): Mirror {
  if (isListing === true) return applyListing(mirror, changes, revision, now);
  const hasGap = since !== undefined && since > mirror.revision;
  return applyChanges(mirror, changes, hasGap ? mirror.revision : revision, now);
}
