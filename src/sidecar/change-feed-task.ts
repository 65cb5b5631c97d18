import type { CodeName, Details } from '../core/errors/registry.js';
import type { MeshFrame } from '../core/exchange/mesh-frame.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import {
  chooseReader,
  decideSource,
  FOLLOWED_MS,
  initialSource,
  type ReaderChoice,
  type Source,
  type SourceEffect,
  type SourceMessage,
  type SourceState,
} from '../core/publications/source.js';
import { Task } from '../core/task/task.js';
import type { MeshLink } from './mesh-link.js';
import type { PeerTable } from './peer-table.js';
import type { PublicationTask } from './publication-task.js';

/** What the feed task needs of its node. */
export interface ChangeFeedTaskOptions {
  readonly clock: Clock;
  readonly peers: PeerTable;
  readonly publications: PublicationTask;
  readonly tell: (address: string, frame: MeshFrame) => void;
  readonly report: (code: CodeName, details: Details) => void;
}

/** A frame between a reader of the store and its followers. */
export type ChangeFeedFrame = Extract<
  MeshFrame,
  { readonly kind: 'follow' | 'feed' | 'feed-lost' }
>;

/** What the feed task is told. */
export type ChangeFeedMessage =
  /** A frame came; `from` is the address of its sender, or null when it is not known. */
  | {
      readonly kind: 'frame';
      readonly frame: ChangeFeedFrame;
      readonly link: MeshLink;
      readonly from: string | null;
    }
  /** The store has answered: the followers get what is new, or learn that nothing is. */
  | { readonly kind: 'store-answered' }
  /** The store cannot be read here: the followers have to look elsewhere. */
  | { readonly kind: 'store-lost' }
  /** The link to a peer broke. */
  | { readonly kind: 'peer-lost'; readonly address: string };

/** How often the choice of the source is looked at; a silent feed is noticed within this time. */
const CHECK_INTERVAL_MS: Milliseconds = 200;

/** How often a follower tells its reader that it is there, and what it knows. */
const FOLLOW_INTERVAL_MS: Milliseconds = 1000;

/** A reader that could not read the store is passed over for this time. */
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
 * Passes what one node of a zone reads in the store on to the others of the zone, so that the
 * calls to the store do not grow with the number of nodes.
 */
export class ChangeFeedTask {
  readonly #options: ChangeFeedTaskOptions;

  readonly #source: Task<SourceState, SourceMessage, SourceEffect>;

  /** Links of the followers, with the instant at which each last asked. */
  readonly #followers = new Map<MeshLink, Instant>();

  /** When a reader said that it cannot read the store. */
  readonly #lostReaders = new Map<string, Instant>();

  readonly #ticker: NodeJS.Timeout;

  /** Followers know everything up to this revision. */
  #sentRevision = 0;

  #followSentAt: Instant = Number.NEGATIVE_INFINITY;

  /**
   * @param options - clock, peers and the reader of the store
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

  /** @returns where the published values come from */
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
        // The next call depends on whether peers wait for what it finds.
        this.#chooseReader();
        this.#sendChanges();
        break;
      case 'store-lost':
        this.#broadcast({ kind: 'feed-lost' });
        break;
      case 'peer-lost':
        this.#abandonReader(message.address);
        break;
    }
  }

  /** Ends the choice of sources. */
  close(): void {
    clearInterval(this.#ticker);
  }

  #handleFrame(frame: ChangeFeedFrame, link: MeshLink, from: string | null): void {
    switch (frame.kind) {
      case 'follow':
        this.#addFollower(link, frame.revision);
        break;
      case 'feed':
        this.#options.publications.send({ ...frame, kind: 'fed' });
        this.#source.send({ kind: 'fed' });
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
    const changes = publications.changesAfter(known);
    this.#broadcast({ kind: 'feed', changes, revision, isSettled: publications.isSettled });
  }

  #addFollower(link: MeshLink, revision: number): void {
    const { clock, publications } = this.#options;
    this.#followers.set(link, clock.now());
    this.#source.send({ kind: 'followed' });
    const { status } = publications;
    if (status.isStoreLost) link.send({ kind: 'feed-lost' });
    if (revision >= status.revision) return;
    const changes = publications.changesAfter(revision);
    const { isSettled } = publications;
    link.send({ kind: 'changes', changes, revision: status.revision, isSettled });
  }

  #broadcast(frame: ChangeFeedFrame): void {
    const now = this.#options.clock.now();
    this.#followers.forEach((askedAt, link) => {
      if (!link.isOpen || now - askedAt > FOLLOWED_MS) this.#followers.delete(link);
      else link.send(frame);
    });
  }

  #abandonReader(address: string): void {
    const { reader } = this.#source.state;
    if (reader.kind === 'this-node' || reader.address !== address) return;
    this.#source.send({ kind: 'feed-lost' });
    this.#chooseReader();
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
    const chosen = chooseReader(
      peers.own,
      peers.readerCandidates,
      (address) => !this.#lostReaders.has(address) && peers.isReachable(address),
    );
    if (this.#isCurrentReader(chosen)) return;
    this.#source.send({ kind: 'reader-chosen', reader: chosen });
    this.#followSentAt = Number.NEGATIVE_INFINITY;
  }

  #isCurrentReader(choice: ReaderChoice): boolean {
    const { reader } = this.#source.state;
    switch (choice.kind) {
      case 'this-node':
        return reader.kind === 'this-node' && reader.isAlone === choice.isAlone;
      case 'peer':
        return reader.kind === 'peer' && reader.address === choice.address;
    }
  }

  /** Tells the reader that this node is there. */
  #sendFollow(): void {
    const { clock, tell, publications } = this.#options;
    const { reader } = this.#source.state;
    const now = clock.now();
    if (reader.kind === 'this-node' || now - this.#followSentAt < FOLLOW_INTERVAL_MS) return;
    this.#followSentAt = now;
    tell(reader.address, { kind: 'follow', revision: publications.status.revision });
  }

  #changeSource(source: Source): void {
    const { report, publications } = this.#options;
    const { revision } = publications.status;
    report('sourceChanged', { source: describeSource(source), revision });
    publications.send({ kind: 'source-changed', source });
  }
}
