import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision, type Step } from '../task/decision.js';
import {
  applyChanges,
  applyChangeSet,
  applyListing,
  emptyMirror,
  type ChangeSet,
  type Mirror,
} from './mirror.js';
import type { Publication } from './publication.js';

/**
 * Entries that expired during an outage of the store are registered again within about 2 s of its
 * return; one that is missing from a later answer is gone.
 */
const LAPSE_HOLD_MS: Milliseconds = 2200;

/**
 * Shortest time without an answer of the store in which entries may expire. The platform removes an
 * entry after three silent heartbeat intervals of 1.5 s, the first of which may have begun before the
 * outage; backend servers report approximately at these intervals. A call that was cut and succeeds
 * when it is repeated is no outage.
 */
const SHORTEST_LAPSE_MS: Milliseconds = 2500;

/** An entry that stays in force although it was removed. */
export interface HeldEntry {
  readonly publication: Publication;
  readonly heldSince: Instant;
}

/** Why a held entry is held no longer. */
export type HoldEnd =
  /** Its backend server has registered it again. */
  | { readonly kind: 'registered' }
  /** The store has answered for long enough after its return. */
  | { readonly kind: 'store-answered' }
  /** A peer that has read the store without a gap has seen the removal. */
  | { readonly kind: 'confirmed' }
  /** The store has answered a peer for this time, so it had no outage before the removal. */
  | { readonly kind: 'peer-unbroken'; readonly unbrokenMs: Milliseconds };

/** What a node knows of the published values, and for how long it has known them without a gap. */
export interface PublishedView {
  readonly mirror: Mirror;
  /** When the store, or the node that reads it for this one, last answered. */
  readonly answeredAt: Instant;
  /** Since when the store has answered this node without a gap in which entries may expire. */
  readonly answeredSince: Instant;
  /** Since when the store has answered any known node without such a gap. */
  readonly storeBackAt: Instant;
  /** Entries that stay in force although they were removed, by key. */
  readonly heldEntries: ReadonlyMap<string, HeldEntry>;
}

/** Changes of published values that one node forwards to another. */
export interface PublishedChanges extends ChangeSet {
  /** Whether the sender has read the store without interruption for some seconds. */
  readonly isSettled: boolean;
}

/** Messages that change the view. */
export type ViewMessage =
  /** The store listed all values. */
  | {
      readonly kind: 'listed';
      readonly publications: readonly Publication[];
      readonly asOf: number;
    }
  /** The store answered with the changes since its last answer. */
  | { readonly kind: 'changed'; readonly changes: readonly Publication[]; readonly asOf: number }
  /** The node that reads the store for this one sent what it read this long ago. */
  | ({ readonly kind: 'fed'; readonly ageMs: Milliseconds } & PublishedChanges)
  | ({ readonly kind: 'peer-changed' } & PublishedChanges)
  /** The store has answered a peer for this time without a gap in which entries may expire. */
  | { readonly kind: 'peer-unbroken'; readonly unbrokenMs: Milliseconds }
  /** Peers may know by now since when the store has answered. */
  | { readonly kind: 'peers-due' };

/** Effects of a message. */
export type ViewEffect =
  | { readonly kind: 'view-changed' }
  /** An entry stays in force although it was removed, for at least this time. */
  | { readonly kind: 'entry-held'; readonly key: string; readonly holdMs: Milliseconds }
  /** An entry is held no longer. */
  | {
      readonly kind: 'entry-released';
      readonly key: string;
      readonly heldMs: Milliseconds;
      readonly end: HoldEnd;
    }
  /** Peers have to be asked since when the store has answered them. */
  | { readonly kind: 'ask-peers' };

/** View before the first answer of the store. */
export const initialView: PublishedView = {
  mirror: emptyMirror,
  answeredAt: Number.NEGATIVE_INFINITY,
  answeredSince: Number.POSITIVE_INFINITY,
  storeBackAt: Number.NEGATIVE_INFINITY,
  heldEntries: new Map(),
};

type ViewStep = Step<PublishedView, ViewEffect>;

/** Which removals are known to be more than the result of an outage. */
type Confirmation =
  | { readonly kind: 'none' }
  /** New removals and all held ones, as the store has answered for long enough. */
  | { readonly kind: 'all' }
  /** New removals, and held ones up to this revision, as a settled peer has read them. */
  | { readonly kind: 'by-peer'; readonly heldUpTo: number };

const UNCONFIRMED: Confirmation = { kind: 'none' };

const ALL_CONFIRMED: Confirmation = { kind: 'all' };

function isRecent({ answeredAt }: PublishedView, now: Instant): boolean {
  return now - answeredAt < SHORTEST_LAPSE_MS;
}

/** Whether what the view lacks is gone, since the store answered late enough after its return. */
function isConclusive({ answeredAt, storeBackAt }: PublishedView): boolean {
  return answeredAt - storeBackAt >= LAPSE_HOLD_MS;
}

/**
 * Computes for how long the store has answered this node without a gap in which entries may expire.
 *
 * @param view - the view of the node
 * @param now - the current instant
 * @returns the time in milliseconds; 0 during such a gap and before the first answer
 */
export function unbrokenTime(view: PublishedView, now: Instant): Milliseconds {
  return isRecent(view, now) ? Math.max(0, now - view.answeredSince) : 0;
}

/**
 * Checks whether another node may rely on the removals that this node has read.
 *
 * @param view - the view of the node
 * @param now - the current instant
 * @returns whether no entry that expired in an outage may still be registered again
 */
export function isSettled(view: PublishedView, now: Instant): boolean {
  return isRecent(view, now) && view.answeredAt - view.answeredSince >= LAPSE_HOLD_MS;
}

/**
 * Finds the instant at which removals that are held back may take effect.
 *
 * @param view - the view of the node
 * @returns the instant, or null when no entry is held
 */
export function findHoldEnd({ heldEntries, storeBackAt }: PublishedView): Instant | null {
  return heldEntries.size === 0 ? null : storeBackAt + LAPSE_HOLD_MS;
}

/**
 * Lists the values in force: those of the mirror and the held entries.
 *
 * @param view - the view of the node
 * @returns the values by key
 */
export function publicationsInForce({
  mirror,
  heldEntries,
}: PublishedView): ReadonlyMap<string, Publication> {
  if (heldEntries.size === 0) return mirror.publications;
  const held = [...heldEntries].map(([key, { publication }]) => [key, publication] as const);
  return new Map([...mirror.publications, ...held]);
}

function recordAnswer(view: PublishedView, answeredAt: Instant): PublishedView {
  const isAfterGap = answeredAt - view.answeredAt >= SHORTEST_LAPSE_MS;
  if (!isAfterGap) return { ...view, answeredAt: Math.max(view.answeredAt, answeredAt) };
  const isFirst = view.answeredAt === Number.NEGATIVE_INFINITY;
  return {
    ...view,
    answeredAt,
    answeredSince: answeredAt,
    // Before its first answer, a node knows no entry that it could drop.
    storeBackAt: isFirst ? view.storeBackAt : answeredAt,
  };
}

function isPresent({ publications }: Mirror, key: string): boolean {
  return (publications.get(key)?.text ?? null) !== null;
}

/** Tells why an entry is held no longer, or null while it is held. */
function findEnd(key: string, mirror: Mirror, confirmation: Confirmation): HoldEnd | null {
  if (isPresent(mirror, key)) return { kind: 'registered' };
  switch (confirmation.kind) {
    case 'none':
      return null;
    case 'all':
      return { kind: 'store-answered' };
    case 'by-peer': {
      const revision = mirror.publications.get(key)?.revision ?? 0;
      return revision <= confirmation.heldUpTo ? { kind: 'confirmed' } : null;
    }
  }
}

interface Release {
  readonly held: ReadonlyMap<string, HeldEntry>;
  readonly effects: readonly ViewEffect[];
}

function releaseHeld(
  held: ReadonlyMap<string, HeldEntry>,
  endOf: (key: string) => HoldEnd | null,
  now: Instant,
): Release {
  if (held.size === 0) return { held, effects: [] };
  const effects = [...held].flatMap(([key, { heldSince }]): readonly ViewEffect[] => {
    const end = endOf(key);
    return end === null ? [] : [{ kind: 'entry-released', key, heldMs: now - heldSince, end }];
  });
  if (effects.length === 0) return { held, effects };
  return { held: new Map([...held].filter(([key]) => endOf(key) === null)), effects };
}

function findRemovedEntries(
  before: Mirror,
  next: Mirror,
  isEntry: (publication: Publication) => boolean,
): readonly (readonly [string, Publication])[] {
  if (before.publications === next.publications) return [];
  return [...before.publications].filter(
    ([key, was]) => was.text !== null && !isPresent(next, key) && isEntry(was),
  );
}

/** Replaces the mirror and decides which removals take effect. */
function replaceMirror(
  view: PublishedView,
  mirror: Mirror,
  confirmation: Confirmation,
  isEntry: (publication: Publication) => boolean,
  now: Instant,
): ViewStep {
  const endOf = (key: string): HoldEnd | null => findEnd(key, mirror, confirmation);
  const { held: kept, effects } = releaseHeld(view.heldEntries, endOf, now);
  const removed =
    confirmation.kind === 'none' ? findRemovedEntries(view.mirror, mirror, isEntry) : [];
  const added = removed.map(
    ([key, publication]) => [key, { publication, heldSince: now }] as const,
  );
  const heldEntries = removed.length === 0 ? kept : new Map([...kept, ...added]);
  const next: PublishedView = { ...view, mirror, heldEntries };
  const isUnchanged =
    mirror.publications === view.mirror.publications && heldEntries === view.heldEntries;
  const holdMs = Math.max(0, view.storeBackAt + LAPSE_HOLD_MS - now);
  return step<PublishedView, ViewEffect>(
    next,
    ...effects,
    ...removed.map(([key]): ViewEffect => ({ kind: 'entry-held', key, holdMs })),
    ...(isUnchanged ? [] : [{ kind: 'view-changed' } as const]),
    ...(view.heldEntries.size === 0 && removed.length > 0 ? [{ kind: 'ask-peers' } as const] : []),
  );
}

/** Confirmation by what the store has answered this node. */
function ownConfirmation(view: PublishedView, now: Instant): Confirmation {
  return isRecent(view, now) && isConclusive(view) ? ALL_CONFIRMED : UNCONFIRMED;
}

/**
 * Applies changes that another node has read. Its removals take effect at once unless both nodes
 * had a recent outage: an outage in which entries expire lasts long enough for every node to detect.
 */
function applyFromPeer(
  view: PublishedView,
  changes: PublishedChanges,
  isEntry: (publication: Publication) => boolean,
  now: Instant,
): ViewStep {
  const mirror = applyChangeSet(view.mirror, changes, now);
  const own = ownConfirmation(view, now);
  const hasGap = changes.since !== undefined && changes.since > view.mirror.revision;
  const confirmation: Confirmation =
    own.kind === 'none' && changes.isSettled
      ? { kind: 'by-peer', heldUpTo: hasGap ? 0 : changes.revision }
      : own;
  return replaceMirror(view, mirror, confirmation, isEntry, now);
}

function applyPeerUnbroken(
  before: PublishedView,
  unbrokenMs: Milliseconds,
  now: Instant,
): ViewStep {
  // Without an answer since the gap, this node does not know what the store lists now.
  if (!isRecent(before, now)) return step(before);
  const storeBackAt = Math.min(before.storeBackAt, now - unbrokenMs);
  const view = { ...before, storeBackAt };
  if (view.heldEntries.size === 0 || !isConclusive(view)) return step(view);
  const { held, effects } = releaseHeld(
    view.heldEntries,
    () => ({ kind: 'peer-unbroken', unbrokenMs }),
    now,
  );
  return step<PublishedView, ViewEffect>({ ...view, heldEntries: held }, ...effects, {
    kind: 'view-changed',
  });
}

/**
 * Creates the decision that keeps the published values of a node. A removal that is read shortly
 * after an outage of the store may come from the outage, so it takes effect only when the store has
 * answered for long enough, or when a node without an outage confirms it.
 *
 * @param isEntry - whether a value is the directory entry of a backend server
 * @returns the decision
 */
export function createViewDecision(
  isEntry: (publication: Publication) => boolean,
): Decision<PublishedView, ViewMessage, ViewEffect> {
  return (before, message, now) => {
    switch (message.kind) {
      case 'listed': {
        const view = recordAnswer(before, now);
        const mirror = applyListing(view.mirror, message.publications, message.asOf, now);
        return replaceMirror(view, mirror, ownConfirmation(view, now), isEntry, now);
      }
      case 'changed': {
        const view = recordAnswer(before, now);
        const mirror = applyChanges(view.mirror, message.changes, message.asOf, now);
        return replaceMirror(view, mirror, ownConfirmation(view, now), isEntry, now);
      }
      case 'fed':
        return applyFromPeer(recordAnswer(before, now - message.ageMs), message, isEntry, now);
      case 'peer-changed':
        return applyFromPeer(before, message, isEntry, now);
      case 'peer-unbroken':
        return applyPeerUnbroken(before, message.unbrokenMs, now);
      case 'peers-due':
        return before.heldEntries.size === 0 ? step(before) : step(before, { kind: 'ask-peers' });
    }
  };
}
