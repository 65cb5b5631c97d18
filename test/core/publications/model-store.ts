import type { Publication } from '../../../src/core/publications/publication.js';
import type { ViewMessage } from '../../../src/core/publications/published-view.js';

/** Store in made-up time. */
export class ModelStore {
  readonly #changes: Publication[] = [];

  readonly #watches = new Set<() => void>();

  /** @returns the revision of the last change */
  get revision(): number {
    return this.#changes.length;
  }

  /**
   * Writes or removes a value.
   *
   * @param key - the key
   * @param text - the value, or null to remove it
   */
  change(key: string, text: string | null): void {
    this.#changes.push({ key, revision: this.revision + 1, text });
    [...this.#watches].forEach((notify) => notify());
  }

  /** @returns the answer to a listing */
  list(): ViewMessage {
    const latest = new Map(this.#changes.map((change) => [change.key, change]));
    const publications = [...latest.values()].filter(({ text }) => text !== null);
    return { kind: 'listed', publications, asOf: this.revision };
  }

  /**
   * Answers a watch.
   *
   * @param after - revision known to the reader
   * @returns the answer
   */
  changesAfter(after: number): ViewMessage {
    const changes = this.#changes.filter(({ revision }) => revision > after);
    return { kind: 'changed', changes, asOf: this.revision };
  }

  /**
   * Registers a watch.
   *
   * @param notify - called after each change
   * @returns ends the watch
   */
  onChange(notify: () => void): () => void {
    this.#watches.add(notify);
    return () => this.#watches.delete(notify);
  }
}
