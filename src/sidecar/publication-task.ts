import { setTimeout as sleep } from 'node:timers/promises';
import type { Directory } from '../core/directory/directory.js';
import type { CodeName, Details } from '../core/errors/registry.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { Policy } from '../core/policy/policy.js';
import { decodeOnce, interpret, type ValueDecoder } from '../core/publications/interpretation.js';
import {
  applyChanges,
  applyChangeSet,
  applyListing,
  collectChanges,
  emptyMirror,
  type Mirror,
} from '../core/publications/mirror.js';
import type { Publication, PublishedValue } from '../core/publications/publication.js';
import type { Source } from '../core/publications/source.js';
import type { StoreReader, StoreReply } from '../core/publications/store-reply.js';
import type { PublicationStatus, PublishedChanges } from '../core/exchange/mesh-frame.js';

/** Dependencies of the publication task. */
export interface PublicationTaskOptions {
  readonly clock: Clock;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
  readonly store: StoreReader;
  readonly decodeValue: ValueDecoder;
  readonly report: (code: CodeName, details: Details) => void;
  /** Called with the current policy and directory after a change of the published values. */
  readonly changed: (policy: Policy | null, directory: Directory) => void;
  /** Called when the store has answered, so the local copy is up to date. */
  readonly answered: () => void;
  /** Called when the store was lost or regained, so that the peers are informed. */
  readonly statusChanged: () => void;
}

/**
 * Pause between two watch calls, and the longest wait of a watch call. The pause saves calls,
 * which cost money, and batches changes, which come in groups. Pause and wait together are the
 * longest gap between two updates to followers, which read the store themselves after a gap of
 * 1.25 s. The pause is two fifths of the 2 s in which a change has to be in force; the rest is left
 * for a slow store and the transfer to followers. The same wait applies without followers, since a
 * call on a connection that fell silent is given up only after its wait.
 */
const WATCH_PAUSE_MS: Milliseconds = 800;
const WATCH_WAIT_MS: Milliseconds = 200;

/** Wait of the first call of a node that replaces its reader; the other followers wait for it. */
const FIRST_WAIT_MS: Milliseconds = 1;

/** Exponential backoff after failed calls: first and longest pause, before jitter of ±50%. */
const RETRY_MIN_MS: Milliseconds = 200;
const RETRY_MAX_MS: Milliseconds = 2000;

/**
 * Entries that expired during an outage of the store are registered again within about 2 s of its
 * return, so a removal seen around an outage takes effect only after this time.
 */
const LAPSE_HOLD_MS: Milliseconds = 2200;

/**
 * Shortest time without an answer of the store in which entries may expire. The platform removes an
 * entry after three silent heartbeat intervals of 1.5 s, the first of which may have begun before the
 * outage; backend servers report approximately at these intervals. A call that was cut and succeeds
 * when it is repeated is no outage.
 */
const SHORTEST_LAPSE_MS: Milliseconds = 2500;

/** Message to the publication task. */
export type PublicationMessage =
  | { readonly kind: 'start' }
  /** The source of the published values changed. */
  | { readonly kind: 'source-changed'; readonly source: Source }
  /** Changes from a peer with a higher revision. */
  | ({ readonly kind: 'peer-changes' } & PublishedChanges)
  /** Update from the node that this node follows, sent after each of its reads of the store. */
  | ({ readonly kind: 'feed-received' } & PublishedChanges);

/** Reads the store and owns the local copy of all published values. */
export class PublicationTask {
  readonly #options: PublicationTaskOptions;

  readonly #decode: (publication: Publication) => PublishedValue | null;

  #mirror: Mirror = emptyMirror;

  #policy: Policy | null = null;

  #failures = 0;

  #lostAt: Instant | null = null;

  /** When the store, or the node that reads it for this one, last answered. */
  #answeredAt: Instant = Number.NEGATIVE_INFINITY;

  /** End of the last outage in which entries may have expired. */
  #lapseEndedAt: Instant = Number.NEGATIVE_INFINITY;

  /** Removals that take effect at the instant `until`, with the value before the removal. */
  readonly #heldRemovals = new Map<
    string,
    { readonly until: Instant; readonly was: Publication }
  >();

  #source: Source = { kind: 'store' };

  /** Whether the next call is a full listing, which shows removals that a watch cannot. */
  #isListingDue = true;

  #isReading = false;

  /** Whether this node replaces its reader and has not called the store since. */
  #isReadingAnew = false;

  #isClosed = false;

  /**
   * @param options - the store client and the node's handlers
   */
  constructor(options: PublicationTaskOptions) {
    this.#options = options;
    this.#decode = decodeOnce(options.decodeValue, options.report);
  }

  /** @returns the known revision, and whether the store cannot be read */
  get status(): PublicationStatus {
    return { revision: this.#mirror.revision, isStoreLost: this.#lostAt !== null };
  }

  /** @returns whether no entry that expired in an outage may still be registered again */
  get isSettled(): boolean {
    const now = this.#options.clock.now();
    return !this.#isLapsePossible(now) && now - this.#lapseEndedAt > LAPSE_HOLD_MS;
  }

  /**
   * Handles a message.
   *
   * @param message - the message
   */
  send(message: PublicationMessage): void {
    switch (message.kind) {
      case 'start':
        void this.#readLoop();
        break;
      case 'source-changed':
        this.#isReadingAnew = this.#source.kind === 'feed' && message.source.kind === 'store';
        this.#source = message.source;
        void this.#readLoop();
        break;
      case 'peer-changes':
        this.#applyPeerChanges(message);
        break;
      case 'feed-received':
        this.#markRegained();
        this.#applyPeerChanges(message);
        break;
    }
  }

  /** Stops reading and cancels the pending call. */
  close(): void {
    this.#isClosed = true;
    this.#options.store.cancel();
  }

  /**
   * Collects the changes after a revision.
   *
   * @param revision - the last revision that a peer has
   * @returns the changed and removed values
   */
  changesAfter(revision: number): PublishedChanges {
    return { ...collectChanges(this.#mirror, revision), isSettled: this.isSettled };
  }

  /**
   * Applies changes that another node has read. Removals take effect at once unless both nodes had
   * a recent outage: an outage in which entries expire lasts long enough for every node to detect.
   */
  #applyPeerChanges(changes: PublishedChanges): void {
    const next = applyChangeSet(this.#mirror, changes, this.#options.clock.now());
    this.#applyMirror(next, changes.isSettled || this.isSettled);
  }

  get #isReadEnabled(): boolean {
    return !this.#isClosed && this.#source.kind === 'store';
  }

  /** Reads while the source is the store, with one call in flight at a time. */
  async #readLoop(): Promise<void> {
    if (this.#isReading) return;
    this.#isReading = true;
    while (this.#isReadEnabled) {
      // Each call starts at the revision that the previous call returned.
      // eslint-disable-next-line no-await-in-loop
      const reply = await this.#callStore();
      if (this.#isClosed) break;
      this.#handleReply(reply);
      // eslint-disable-next-line no-await-in-loop
      await sleep(this.#pauseAfter(reply), undefined, { ref: false });
    }
    this.#isReading = false;
    // A connection may fall silent while it is unused, so the next read opens a new one.
    this.#options.store.cancel();
  }

  #callStore(): Promise<StoreReply> {
    const { store } = this.#options;
    if (this.#isListingDue) return store.list();
    const waitMs = this.#isReadingAnew ? FIRST_WAIT_MS : WATCH_WAIT_MS;
    this.#isReadingAnew = false;
    return store.watch(this.#mirror.revision, waitMs);
  }

  #pauseAfter(reply: StoreReply): Milliseconds {
    switch (reply.kind) {
      case 'listing':
      case 'history-lost':
        return 0;
      case 'changes':
        return WATCH_PAUSE_MS;
      case 'unavailable': {
        const pauseMs = Math.min(RETRY_MAX_MS, RETRY_MIN_MS * 2 ** (this.#failures - 1));
        return pauseMs * (0.5 + this.#options.random());
      }
    }
  }

  #handleReply(reply: StoreReply): void {
    const now = this.#options.clock.now();
    switch (reply.kind) {
      case 'listing':
        this.#isListingDue = false;
        this.#markRegained();
        this.#applyMirror(
          applyListing(this.#mirror, reply.publications, reply.asOf, now),
          this.isSettled,
        );
        this.#options.answered();
        break;
      case 'changes':
        this.#markRegained();
        this.#applyMirror(
          applyChanges(this.#mirror, reply.changes, reply.asOf, now),
          this.isSettled,
        );
        this.#options.answered();
        break;
      case 'history-lost':
        this.#isListingDue = true;
        break;
      case 'unavailable':
        // A listing after the outage shows the removals that happened during it.
        this.#isListingDue = true;
        this.#markLost(reply.reason);
        break;
    }
  }

  /** Whether the store has been lost for so long that entries may have expired. */
  #isLapsePossible(now: Instant): boolean {
    return this.#lostAt !== null && now - this.#answeredAt >= SHORTEST_LAPSE_MS;
  }

  #markRegained(): void {
    const now = this.#options.clock.now();
    if (this.#isLapsePossible(now)) this.#lapseEndedAt = now;
    this.#answeredAt = now;
    this.#failures = 0;
    if (this.#lostAt === null) return;
    const lostMs = Math.round(now - this.#lostAt);
    this.#lostAt = null;
    this.#options.report('storeRegained', { revision: this.#mirror.revision, lostMs });
    this.#options.statusChanged();
  }

  #markLost(reason: string): void {
    const { clock, report, statusChanged } = this.#options;
    const isNew = this.#lostAt === null;
    this.#lostAt ??= clock.now();
    this.#failures += 1;
    if (!isNew) return;
    report('storeLost', { reason, revision: this.#mirror.revision });
    statusChanged();
  }

  #applyMirror(next: Mirror, isSettled: boolean): void {
    if (next === this.#mirror) return;
    const before = this.#mirror;
    this.#mirror = next;
    if (next.publications === before.publications) return;
    if (!isSettled) this.#holdRemovals(before, next);
    this.#emitView();
  }

  #holdRemovals(before: Mirror, next: Mirror): void {
    const until = this.#options.clock.now() + LAPSE_HOLD_MS;
    next.publications.forEach((publication, key) => {
      const was = before.publications.get(key);
      const isRemoved = publication.text === null && was !== undefined && was.text !== null;
      if (!isRemoved || this.#decode(was)?.kind !== 'instance') return;
      this.#heldRemovals.set(key, { until, was });
      this.#options.report('lapseHeld', { key, holdMs: LAPSE_HOLD_MS });
      setTimeout(() => this.#emitView(), LAPSE_HOLD_MS + 1);
    });
  }

  /** Reports policy and directory; entries whose removal is held back are still included. */
  #emitView(): void {
    if (this.#isClosed) return;
    const now = this.#options.clock.now();
    const publications = new Map(this.#mirror.publications);
    this.#heldRemovals.forEach(({ until, was }, key) => {
      const isBack = (publications.get(key)?.text ?? null) !== null;
      if (isBack || now >= until) this.#heldRemovals.delete(key);
      else publications.set(key, was);
    });
    const view = interpret({ ...this.#mirror, publications }, this.#decode, this.#policy);
    this.#policy = view.policy;
    this.#options.changed(view.policy, view.directory);
  }
}
