import type { CodeName, Details } from '../core/errors/registry.js';
import type { MeshFrame } from '../core/exchange/mesh-frame.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import {
  chooseReader,
  decideSource,
  feedDeadline,
  groupFollowers,
  FOLLOWER_TIMEOUT_MS,
  initialSource,
  type ReaderChoice,
  type ReaderGroup,
  type Source,
  type SourceEffect,
  type SourceMessage,
  type SourceState,
} from '../core/publications/source.js';
import { Task } from '../core/task/task.js';
import type { MeshLink } from './mesh-link.js';
import type { PeerTable } from './peer-table.js';
import type { PublicationTask } from './publication-task.js';

/** Dependencies of the change feed. */
export interface ChangeFeedTaskOptions {
  readonly clock: Clock;
  readonly peers: PeerTable;
  readonly publications: PublicationTask;
  readonly sendFrame: (address: string, frame: MeshFrame) => void;
  readonly report: (code: CodeName, details: Details) => void;
}

/** Frame between a node that reads the store and its followers. */
export type ChangeFeedFrame = Extract<
  MeshFrame,
  { readonly kind: 'follow' | 'feed' | 'feed-lost' }
>;

/** Message to the change feed. */
export type ChangeFeedMessage =
  /** A frame was received. `from` is the address of its sender, or null when unknown. */
  | {
      readonly kind: 'frame';
      readonly frame: ChangeFeedFrame;
      readonly link: MeshLink;
      readonly from: string | null;
    }
  /** The store has answered: the followers are sent the new changes, or an empty update. */
  | { readonly kind: 'store-answered' }
  /** This node cannot read the store: the followers have to choose another source. */
  | { readonly kind: 'store-lost' }
  /** The link to a peer was lost. */
  | { readonly kind: 'peer-lost'; readonly address: string };

/** Interval at which the source is re-evaluated; bounds the delay in detecting a silent feed. */
const CHECK_INTERVAL_MS: Milliseconds = 200;

/** Interval at which a follower renews its subscription and sends its revision. */
const FOLLOW_INTERVAL_MS: Milliseconds = 1000;

/** A reader that reported the loss of the store is not chosen again for this time. */
const LOST_READER_EXCLUSION_MS: Milliseconds = 3000;

function describeSource(source: Source): string {
  switch (source.kind) {
    case 'store':
      return 'the store';
    case 'feed':
      return `the reader ${source.address}`;
  }
}

/**
 * Distributes the changes that a few nodes of a zone read from the store to the other nodes of the
 * zone, so that the calls to the store do not grow with the number of nodes.
 */
export class ChangeFeedTask {
  readonly #options: ChangeFeedTaskOptions;

  readonly #source: Task<SourceState, SourceMessage, SourceEffect>;

  /** Links of the followers, with the instant of the last `follow` frame. */
  readonly #followers = new Map<MeshLink, Instant>();

  /** Addresses of readers that cannot read the store, with the instant of the loss. */
  readonly #lostReaders = new Map<string, Instant>();

  readonly #ticker: NodeJS.Timeout;

  /** Fires when the feed is missing for so long that this node reads the store. */
  #feedTimer: NodeJS.Timeout | null = null;

  /** Nodes that are fed by the same reader, as long as the reader and the zone are unchanged. */
  #group: ReaderGroup = { standbys: [], standbyDelayMs: 0 };

  #groupedCandidates: readonly string[] = [];

  /** Node that sent the last feed; null when its address is not known. */
  #fedBy: string | null = null;

  /** Revision of the last feed, which the other followers of the reader have received too. */
  #fedRevision = 0;

  /** Revision up to which changes have been sent to the followers. */
  #sentRevision = 0;

  /** When the store last answered this node. */
  #answeredAt: Instant = Number.NEGATIVE_INFINITY;

  #followSentAt: Instant = Number.NEGATIVE_INFINITY;

  /**
   * @param options - clock, peers, published values and the node's handlers
   */
  constructor(options: ChangeFeedTaskOptions) {
    this.#options = options;
    this.#source = new Task({
      initial: initialSource,
      decide: decideSource,
      clock: options.clock,
      perform: ({ source }) => this.#changeSource(source),
    });
    this.#ticker = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  /** @returns the current source of the published values */
  get source(): Source {
    return this.#source.state.source;
  }

  /**
   * Handles a message.
   *
   * @param message - the message
   */
  send(message: ChangeFeedMessage): void {
    switch (message.kind) {
      case 'frame':
        this.#handleFrame(message.frame, message.link, message.from);
        break;
      case 'store-answered':
        this.#answeredAt = this.#options.clock.now();
        // The first answer names the peers, one of which may read the store for this node.
        this.#chooseReader();
        this.#sendChanges();
        this.#feedStandbys();
        break;
      case 'store-lost':
        this.#broadcast({ kind: 'feed-lost' });
        break;
      case 'peer-lost':
        this.#abandonReader(message.address);
        break;
    }
  }

  /** Stops re-evaluating the source. */
  close(): void {
    clearInterval(this.#ticker);
    if (this.#feedTimer !== null) clearTimeout(this.#feedTimer);
  }

  #handleFrame(frame: ChangeFeedFrame, link: MeshLink, from: string | null): void {
    switch (frame.kind) {
      case 'follow':
        this.#addFollower(link, frame.revision);
        break;
      case 'feed':
        this.#options.publications.send({ ...frame, kind: 'feed-received' });
        this.#fedRevision = this.#options.publications.status.revision;
        this.#fedBy = from;
        this.#source.send({ kind: 'feed-received', ageMs: Math.max(0, frame.ageMs ?? 0) });
        this.#armFeedTimer();
        break;
      case 'feed-lost':
        if (from === null) break;
        this.#lostReaders.set(from, this.#options.clock.now());
        this.#abandonReader(from);
        break;
    }
  }

  #sendChanges(): void {
    const { publications } = this.#options;
    const { revision } = publications.status;
    const known = this.#sentRevision;
    this.#sentRevision = revision;
    if (this.#followers.size === 0) return;
    this.#broadcast({ kind: 'feed', ...publications.changesAfter(known) });
  }

  /** Feeds the other followers of a silent reader, so that they need not read the store too. */
  #feedStandbys(): void {
    const { peers, sendFrame, publications } = this.#options;
    const { source, reader } = this.#source.state;
    if (source.kind !== 'store' || reader.kind === 'this-node') return;
    const frame: ChangeFeedFrame = {
      kind: 'feed',
      ...publications.changesAfter(this.#fedRevision),
    };
    this.#fedRevision = frame.revision;
    this.#group.standbys
      .filter((address) => address !== peers.own && peers.isReachable(address))
      .forEach((address) => sendFrame(address, frame));
  }

  /** The standbys replace a reader milliseconds apart, which the regular check does not resolve. */
  #armFeedTimer(): void {
    if (this.#feedTimer !== null) clearTimeout(this.#feedTimer);
    const leftMs = feedDeadline(this.#source.state) - this.#options.clock.now();
    this.#feedTimer = setTimeout(() => this.#source.send({ kind: 'tick' }), Math.max(0, leftMs));
  }

  #addFollower(link: MeshLink, revision: number): void {
    const { clock, publications } = this.#options;
    this.#followers.set(link, clock.now());
    this.#source.send({ kind: 'follow-received' });
    const { status } = publications;
    if (status.isStoreLost) link.send({ kind: 'feed-lost' });
    if (status.isStoreLost || this.source.kind !== 'store') {
      if (revision >= status.revision) return;
      link.send({ kind: 'changes', ...publications.changesAfter(revision) });
      return;
    }
    // A follower that has just lost its reader need not read the store until the next regular feed.
    const ageMs = clock.now() - this.#answeredAt;
    link.send({ kind: 'feed', ...publications.changesAfter(revision), ageMs });
  }

  #broadcast(frame: ChangeFeedFrame): void {
    const now = this.#options.clock.now();
    this.#followers.forEach((askedAt, link) => {
      if (!link.isOpen || now - askedAt > FOLLOWER_TIMEOUT_MS) this.#followers.delete(link);
      else link.send(frame);
    });
  }

  #abandonReader(address: string): void {
    const { reader } = this.#source.state;
    if (reader.kind === 'this-node' || reader.address !== address) return;
    // A standby that already feeds this node goes on to do so.
    if (this.#fedBy === null || this.#fedBy === address) this.#source.send({ kind: 'feed-lost' });
    this.#chooseReader();
    this.#armFeedTimer();
  }

  #check(): void {
    this.#chooseReader();
    this.#source.send({ kind: 'tick' });
    this.#sendFollow();
  }

  #chooseReader(): void {
    const { peers, clock } = this.#options;
    const now = clock.now();
    this.#lostReaders.forEach((lostAt, address) => {
      if (now - lostAt >= LOST_READER_EXCLUSION_MS) this.#lostReaders.delete(address);
    });
    const isUsable = (address: string): boolean =>
      !this.#lostReaders.has(address) && peers.isReachable(address);
    const chosen = chooseReader(peers.own, peers.readerCandidates, isUsable);
    const isNewZone = this.#groupedCandidates !== peers.readerCandidates;
    if (!isNewZone && this.#isCurrentReader(chosen)) return;
    this.#groupedCandidates = peers.readerCandidates;
    this.#group = groupFollowers(peers.own, peers.readerCandidates, chosen, isUsable);
    const { standbyDelayMs } = this.#group;
    const isNewReader = !this.#isCurrentReader(chosen);
    this.#source.send({ kind: 'reader-chosen', reader: chosen, standbyDelayMs });
    if (!isNewReader) return;
    this.#followSentAt = Number.NEGATIVE_INFINITY;
    this.#sendFollow();
  }

  #isCurrentReader(choice: ReaderChoice): boolean {
    const { reader } = this.#source.state;
    switch (choice.kind) {
      case 'this-node':
        return reader.kind === 'this-node';
      case 'peer':
        return reader.kind === 'peer' && reader.address === choice.address;
    }
  }

  /** Renews the subscription at the reader when it is due. */
  #sendFollow(): void {
    const { clock, sendFrame, publications } = this.#options;
    const { reader } = this.#source.state;
    const now = clock.now();
    if (reader.kind === 'this-node' || now - this.#followSentAt < FOLLOW_INTERVAL_MS) return;
    this.#followSentAt = now;
    sendFrame(reader.address, { kind: 'follow', revision: publications.status.revision });
  }

  #changeSource(source: Source): void {
    const { report, publications } = this.#options;
    const { revision } = publications.status;
    report('sourceChanged', { source: describeSource(source), revision });
    publications.send({ kind: 'source-changed', source });
  }
}
