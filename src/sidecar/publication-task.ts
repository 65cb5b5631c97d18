import { setTimeout as sleep } from 'node:timers/promises';
import type { Directory } from '../core/directory/directory.js';
import type { CodeName, Details } from '../core/errors/registry.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import type { Policy } from '../core/policy/policy.js';
import { decodeOnce, interpret, type ValueDecoder } from '../core/publications/interpretation.js';
import { collectChanges } from '../core/publications/mirror.js';
import type { Publication, PublishedValue } from '../core/publications/publication.js';
import {
  createViewDecision,
  findHoldEnd,
  initialView,
  isSettled,
  publicationsInForce,
  unbrokenTime,
  type HoldEnd,
  type PublishedChanges,
  type PublishedView,
  type ViewEffect,
  type ViewMessage,
} from '../core/publications/published-view.js';
import { FULL_WAIT_MS, initialPace, paceNextRead } from '../core/publications/read-pace.js';
import { retryPause } from '../core/publications/read-retry.js';
import type { Source } from '../core/publications/source.js';
import type { StoreReader, StoreReply } from '../core/publications/store-reply.js';
import type { PublicationStatus } from '../core/exchange/mesh-frame.js';
import { Task } from '../core/task/task.js';

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
  /**
   * Asks some peers since when the store has answered them.
   *
   * @param round - number of the question, so that each one may go to other peers
   */
  readonly askPeers: (round: number) => void;
}

/** Wait of the first call of a node that replaces its reader; the other followers wait for it. */
const FIRST_WAIT_MS: Milliseconds = 1;

/**
 * A watch that fails before this time on top of its wait was cut or refused; one that fell silent is
 * given up later. The store may cut a watch while it answers all other calls.
 */
const CUT_LIMIT_MS: Milliseconds = 1000;

/** Pause before further peers are asked since when the store has answered them. */
const ASK_INTERVAL_MS: Milliseconds = 200;

/** Message to the publication task. */
export type PublicationMessage =
  | { readonly kind: 'start' }
  /** The source of the published values changed. */
  | { readonly kind: 'source-changed'; readonly source: Source }
  /** Changes from a peer with a higher revision. */
  | ({ readonly kind: 'peer-changes' } & PublishedChanges)
  /** Update from the node that this node follows, sent after each of its reads of the store. */
  | ({
      readonly kind: 'feed-received';
      /** Time since that read; left out by nodes of an earlier version. */
      readonly ageMs?: Milliseconds | undefined;
    } & PublishedChanges)
  /** The store has answered a peer for this time without a gap in which entries may expire. */
  | { readonly kind: 'peer-unbroken'; readonly unbrokenMs: Milliseconds };

function describeHoldEnd(end: HoldEnd): string {
  switch (end.kind) {
    case 'registered':
      return 'its backend server has registered again';
    case 'store-answered':
      return 'the store has answered for long enough';
    case 'confirmed':
      return 'a peer without an outage has read the removal';
    case 'peer-unbroken':
      return `the store has answered a peer for ${Math.round(end.unbrokenMs)} ms`;
  }
}

/** Reads the store and owns the view of all published values. */
export class PublicationTask {
  readonly #options: PublicationTaskOptions;

  readonly #decode: (publication: Publication) => PublishedValue | null;

  readonly #view: Task<PublishedView, ViewMessage, ViewEffect>;

  #policy: Policy | null = null;

  #failures = 0;

  #pace = initialPace;

  #watchWaitMs = FULL_WAIT_MS;

  #lostAt: Instant | null = null;

  #source: Source = { kind: 'store' };

  /** Whether the next call is a full listing, which shows removals that a watch cannot. */
  #isListingDue = true;

  #isReading = false;

  /** Whether this node replaces its reader and has not called the store since. */
  #isReadingAnew = false;

  #isClosed = false;

  #askTimer: NodeJS.Timeout | null = null;

  #askedRounds = 0;

  /**
   * @param options - the store client and the node's handlers
   */
  constructor(options: PublicationTaskOptions) {
    this.#options = options;
    this.#decode = decodeOnce(options.decodeValue, options.report);
    this.#view = new Task({
      initial: initialView,
      decide: createViewDecision((publication) => this.#decode(publication)?.kind === 'instance'),
      clock: options.clock,
      perform: (effect) => this.#perform(effect),
    });
  }

  /** @returns the known revision, and whether the store cannot be read */
  get status(): PublicationStatus {
    return { revision: this.#revision, isStoreLost: this.#lostAt !== null };
  }

  /** @returns for how long the store has answered without a gap in which entries may expire */
  get unbrokenMs(): Milliseconds {
    return unbrokenTime(this.#view.state, this.#options.clock.now());
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
        this.#view.send({ ...message, kind: 'peer-changed' });
        break;
      case 'feed-received':
        this.#markRegained();
        this.#view.send({ ...message, kind: 'fed', ageMs: Math.max(0, message.ageMs ?? 0) });
        break;
      case 'peer-unbroken':
        this.#view.send(message);
        break;
    }
  }

  /** Stops reading and cancels the pending call. */
  close(): void {
    this.#isClosed = true;
    if (this.#askTimer !== null) clearTimeout(this.#askTimer);
    this.#options.store.cancel();
  }

  /**
   * Collects the changes after a revision.
   *
   * @param revision - the last revision that a peer has
   * @returns the changed and removed values
   */
  changesAfter(revision: number): PublishedChanges {
    const view = this.#view.state;
    return {
      ...collectChanges(view.mirror, revision),
      isSettled: isSettled(view, this.#options.clock.now()),
    };
  }

  get #revision(): number {
    return this.#view.state.mirror.revision;
  }

  get #isReadEnabled(): boolean {
    return !this.#isClosed && this.#source.kind === 'store';
  }

  /** Reads while the source is the store, with one call in flight at a time. */
  async #readLoop(): Promise<void> {
    if (this.#isReading) return;
    this.#isReading = true;
    while (this.#isReadEnabled) {
      const isWatch = !this.#isListingDue;
      const startedAt = this.#options.clock.now();
      // Each call starts at the revision that the previous call returned.
      // eslint-disable-next-line no-await-in-loop
      const reply = await this.#callStore();
      if (this.#isClosed) break;
      const tookMs = this.#options.clock.now() - startedAt;
      this.#handleReply(reply, isWatch && tookMs < this.#watchWaitMs + CUT_LIMIT_MS);
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
    const waitMs = this.#isReadingAnew ? FIRST_WAIT_MS : this.#watchWaitMs;
    this.#isReadingAnew = false;
    return store.watch(this.#revision, waitMs);
  }

  #pauseAfter(reply: StoreReply): Milliseconds {
    switch (reply.kind) {
      case 'listing':
      case 'history-lost':
        return 0;
      case 'changes': {
        const holdEndsAt = findHoldEnd(this.#view.state);
        const now = this.#options.clock.now();
        const { pace, pauseMs, waitMs } = paceNextRead(this.#pace, now, holdEndsAt);
        this.#pace = pace;
        this.#watchWaitMs = waitMs;
        return pauseMs;
      }
      case 'unavailable':
        return retryPause(this.#failures, this.#options.random());
    }
  }

  #handleReply(reply: StoreReply, isCutWatch: boolean): void {
    switch (reply.kind) {
      case 'listing':
        this.#isListingDue = false;
        this.#markRegained();
        this.#view.send({ ...reply, kind: 'listed' });
        this.#options.answered();
        break;
      case 'changes':
        this.#markRegained();
        this.#view.send({ ...reply, kind: 'changed' });
        this.#options.answered();
        break;
      case 'history-lost':
        this.#isListingDue = true;
        break;
      case 'unavailable':
        // A listing after the outage shows the removals that happened during it.
        this.#isListingDue = true;
        if (!isCutWatch) this.#markLost(reply.reason);
        break;
    }
  }

  #markRegained(): void {
    this.#failures = 0;
    if (this.#lostAt === null) return;
    const lostMs = Math.round(this.#options.clock.now() - this.#lostAt);
    this.#lostAt = null;
    this.#options.report('storeRegained', { revision: this.#revision, lostMs });
    this.#options.statusChanged();
  }

  #markLost(reason: string): void {
    const { clock, report, statusChanged } = this.#options;
    const isNew = this.#lostAt === null;
    this.#lostAt ??= clock.now();
    this.#failures += 1;
    if (!isNew) return;
    report('storeLost', { reason, revision: this.#revision });
    statusChanged();
  }

  #perform(effect: ViewEffect): void {
    if (this.#isClosed) return;
    switch (effect.kind) {
      case 'view-changed':
        this.#emitView();
        break;
      case 'entry-held': {
        const { key, holdMs } = effect;
        this.#options.report('lapseHeld', { key, holdMs: Math.round(holdMs) });
        break;
      }
      case 'entry-released': {
        const { key, heldMs, end } = effect;
        const reason = describeHoldEnd(end);
        this.#options.report('lapseEnded', { key, heldMs: Math.round(heldMs), reason });
        break;
      }
      case 'ask-peers':
        this.#askPeers();
        break;
    }
  }

  #askPeers(): void {
    this.#options.askPeers(this.#askedRounds);
    this.#askedRounds += 1;
    if (this.#askTimer !== null) clearTimeout(this.#askTimer);
    this.#askTimer = setTimeout(() => this.#view.send({ kind: 'peers-due' }), ASK_INTERVAL_MS);
  }

  /** Reports policy and directory; entries whose removal is held back are still included. */
  #emitView(): void {
    const view = this.#view.state;
    const values = { ...view.mirror, publications: publicationsInForce(view) };
    const { policy, directory } = interpret(values, this.#decode, this.#policy);
    this.#policy = policy;
    this.#options.changed(policy, directory);
  }
}
