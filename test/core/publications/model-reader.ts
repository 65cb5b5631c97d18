import type { Instant, Milliseconds } from '../../../src/core/model/time.js';
import {
  createViewDecision,
  findHoldEnd,
  initialView,
  publicationsInForce,
  unbrokenTime,
  type PublishedView,
  type ViewEffect,
  type ViewMessage,
} from '../../../src/core/publications/published-view.js';
import { initialPace, paceNextRead } from '../../../src/core/publications/read-pace.js';
import { retryPause } from '../../../src/core/publications/read-retry.js';
import type { EventQueue } from '../shedding/event-queue.js';
import type { ModelStore } from './model-store.js';

const ANSWER_MS: Milliseconds = 4;
const LINK_MS: Milliseconds = 1;

/** Silence after which a call to the store fails, on top of its wait. */
const ANSWER_TIMEOUT_MS: Milliseconds = 1200;

/** Pause before further peers are asked about an outage. */
const ASK_INTERVAL_MS: Milliseconds = 200;

const decide = createViewDecision(() => true);

/** Options of a reader. */
export interface ModelReaderOptions {
  readonly queue: EventQueue;
  readonly store: ModelStore;
  readonly random: () => number;
  /** Whether the store answers this node now. */
  readonly isServed: () => boolean;
  readonly peers: () => readonly ModelReader[];
}

/** A node that reads the store itself, in made-up time. */
export class ModelReader {
  readonly #options: ModelReaderOptions;

  #view: PublishedView = initialView;

  #pace = initialPace;

  #waitMs = 0;

  #failures = 0;

  #isListingDue = true;

  #round = 0;

  /** When an entry was last dropped, by key. */
  readonly droppedAt = new Map<string, Instant>();

  /**
   * @param options - its store and its peers
   */
  constructor(options: ModelReaderOptions) {
    this.#options = options;
  }

  /** @returns for how long the store has answered without a gap */
  get unbrokenMs(): Milliseconds {
    return unbrokenTime(this.#view, this.#options.queue.now);
  }

  /**
   * Checks whether an entry is in force.
   *
   * @param key - the key
   * @returns whether requests may be sent to its server
   */
  isInForce(key: string): boolean {
    return (publicationsInForce(this.#view).get(key)?.text ?? null) !== null;
  }

  /** Calls the store and goes on to do so. */
  read(): void {
    const { queue, store, random } = this.#options;
    const waitMs = this.#isListingDue ? 0 : this.#waitMs;
    if (!this.#options.isServed()) {
      queue.schedule(waitMs + ANSWER_TIMEOUT_MS, () => {
        this.#failures += 1;
        this.#isListingDue = true;
        queue.schedule(retryPause(this.#failures, random()), () => this.read());
      });
      return;
    }
    if (this.#isListingDue) queue.schedule(ANSWER_MS, () => this.#answer(store.list()));
    else this.#watch(waitMs);
  }

  /**
   * Handles a message.
   *
   * @param message - the message
   */
  send(message: ViewMessage): void {
    const { queue } = this.#options;
    const before = [...publicationsInForce(this.#view).keys()].filter((key) => this.isInForce(key));
    const { state, effects } = decide(this.#view, message, queue.now);
    this.#view = state;
    before
      .filter((key) => !this.isInForce(key))
      .forEach((key) => this.droppedAt.set(key, queue.now));
    effects.forEach((effect) => this.#perform(effect));
  }

  #watch(waitMs: Milliseconds): void {
    const { queue, store } = this.#options;
    const after = this.#view.mirror.revision;
    let end = (): void => {};
    let isDone = false;
    const answer = (): void => {
      if (isDone) return;
      isDone = true;
      end();
      queue.schedule(ANSWER_MS, () => this.#answer(store.changesAfter(after)));
    };
    if (store.revision > after) answer();
    else {
      end = store.onChange(answer);
      queue.schedule(waitMs, answer);
    }
  }

  #answer(message: ViewMessage): void {
    const { queue } = this.#options;
    this.#failures = 0;
    this.#isListingDue = false;
    this.send(message);
    const { pace, pauseMs, waitMs } = paceNextRead(this.#pace, queue.now, findHoldEnd(this.#view));
    this.#pace = pace;
    this.#waitMs = waitMs;
    queue.schedule(message.kind === 'listed' ? 0 : pauseMs, () => this.read());
  }

  #perform(effect: ViewEffect): void {
    if (effect.kind !== 'ask-peers') return;
    const { queue, peers } = this.#options;
    const asked = peers().filter((peer, index) => peer !== this && index % 2 === this.#round % 2);
    this.#round += 1;
    asked.forEach((peer) => {
      queue.schedule(LINK_MS, () => {
        const { unbrokenMs } = peer;
        if (unbrokenMs === 0) return;
        queue.schedule(LINK_MS, () => this.send({ kind: 'peer-unbroken', unbrokenMs }));
      });
    });
    queue.schedule(ASK_INTERVAL_MS, () => this.send({ kind: 'peers-due' }));
  }
}
