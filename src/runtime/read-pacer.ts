import type { Clock } from '../core/model/time.js';
import {
  decideReadPacing,
  initialReadPacing,
  type ReaderNumber,
  type ReadPacing,
  type ReadPacingEffect,
  type ReadPacingMessage,
} from '../core/reading/read-pacing.js';
import { Task } from '../core/task/task.js';

/** Task that grants processor time to connections that bring much work; one for the process. */
export class ReadPacer {
  readonly #task: Task<ReadPacing, ReadPacingMessage, ReadPacingEffect>;

  readonly #resumeByReader = new Map<ReaderNumber, () => void>();

  #nextReader: ReaderNumber = 1;

  /**
   * @param clock - monotonic clock
   */
  constructor(clock: Clock) {
    this.#task = new Task({
      initial: initialReadPacing,
      decide: decideReadPacing,
      perform: (effect) => this.#perform(effect),
      clock,
    });
  }

  /** @returns the number of connections that wait for a grant */
  get waiting(): number {
    return this.#task.state.waiting.size;
  }

  /**
   * Adds a connection.
   *
   * @param resume - called with each grant
   * @returns the number of the connection
   */
  add(resume: () => void): ReaderNumber {
    const reader = this.#nextReader;
    this.#nextReader += 1;
    this.#resumeByReader.set(reader, resume);
    return reader;
  }

  /**
   * Asks for a grant for a connection.
   *
   * @param reader - number of the connection, which has used up its portion
   */
  request(reader: ReaderNumber): void {
    this.#task.send({ kind: 'spent', reader });
  }

  /**
   * Removes a connection that was closed.
   *
   * @param reader - number of the connection
   */
  remove(reader: ReaderNumber): void {
    this.#resumeByReader.delete(reader);
    this.#task.send({ kind: 'closed', reader });
  }

  #perform(effect: ReadPacingEffect): void {
    switch (effect.kind) {
      case 'grant':
        this.#resumeByReader.get(effect.reader)?.();
        break;
      case 'wait':
        setTimeout(() => this.#task.send({ kind: 'due' }), effect.delayMs);
        break;
    }
  }
}
