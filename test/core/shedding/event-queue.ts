/** Event queue of a discrete-event simulation, with virtual time in milliseconds. */
export class EventQueue {
  now = 0;

  readonly #due: { readonly at: number; readonly run: () => void }[] = [];

  schedule(delayMs: number, run: () => void): void {
    const at = this.now + delayMs;
    this.#due.splice(this.#firstAfter(at), 0, { at, run });
  }

  /** Index of the first event after an instant, by binary search. */
  #firstAfter(at: number): number {
    let low = 0;
    let high = this.#due.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#due[middle]?.at ?? at) > at) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  runUntil(untilMs: number): void {
    for (let next = this.#due.shift(); next !== undefined; next = this.#due.shift()) {
      if (next.at > untilMs) return;
      this.now = next.at;
      next.run();
    }
  }
}

/** Random numbers from a fixed seed, so that failures are reproducible. */
export function seededRandom(): () => number {
  let state = 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}
