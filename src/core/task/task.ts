import type { Clock } from '../model/time.js';
import type { Decision } from './decision.js';

/** Initial state, decision, effect handler and clock of a task. */
export interface TaskOptions<State, Message, Effect> {
  readonly initial: State;
  readonly decide: Decision<State, Message, Effect>;
  readonly perform: (effect: Effect) => void;
  readonly clock: Clock;
}

/**
 * Owns the state of one decision. Messages are handled strictly one after the other: a message sent
 * while another is being handled waits in the mailbox, so that no decision runs before the effects
 * of the previous one have been performed.
 */
export class Task<State, Message, Effect> {
  readonly #options: TaskOptions<State, Message, Effect>;

  readonly #mailbox: Message[] = [];

  #state: State;

  #isDraining = false;

  /**
   * @param options - initial state, decision, effect handler and clock
   */
  constructor(options: TaskOptions<State, Message, Effect>) {
    this.#options = options;
    this.#state = options.initial;
  }

  /** @returns the current state, for read-only views such as metrics */
  get state(): State {
    return this.#state;
  }

  /**
   * Puts a message into the mailbox and handles all messages there. A call from an effect returns
   * before its message is handled.
   *
   * @param message - the message to handle
   */
  send(message: Message): void {
    this.#mailbox.push(message);
    if (this.#isDraining) return;
    this.#isDraining = true;
    try {
      this.#drain();
    } finally {
      this.#isDraining = false;
    }
  }

  #drain(): void {
    const { decide, perform, clock } = this.#options;
    for (let next = this.#mailbox.shift(); next !== undefined; next = this.#mailbox.shift()) {
      const { state, effects } = decide(this.#state, next, clock.now());
      this.#state = state;
      effects.forEach(perform);
    }
  }
}
