import type { SimulatedProcess } from './simulated-process.js';

interface ScheduledAction {
  readonly owner: SimulatedProcess | null;
  readonly action: () => void;
  isCancelled: boolean;
}

/** Handle of a timer as the timer functions return it. */
interface Timer {
  readonly cancel: () => void;
  readonly unref: () => void;
}

const realTimers = { setTimeout, clearTimeout, setInterval, clearInterval };
const realSetImmediate = setImmediate;

function flushPromises(): Promise<void> {
  return new Promise((resolve) => {
    realSetImmediate(resolve);
  });
}

/** Clock in whole milliseconds that replaces the timer functions while a run lasts. */
export class SimulatedTime {
  now = 0;

  readonly #scheduled = new Map<number, ScheduledAction[]>();

  /** Every event is followed to the end of its promises, so all timers it sets are its owner's. */
  #owner: SimulatedProcess | null = null;

  /**
   * Runs an action later.
   *
   * @param owner - process that it belongs to, or null for the world around
   * @param delayMs - delay, at least one millisecond
   * @param action - the action
   * @returns the entry, which may be cancelled
   */
  after(owner: SimulatedProcess | null, delayMs: number, action: () => void): ScheduledAction {
    const entry: ScheduledAction = { owner, action, isCancelled: false };
    const at = this.now + Math.max(1, Math.ceil(delayMs));
    const entries = this.#scheduled.get(at);
    if (entries === undefined) this.#scheduled.set(at, [entry]);
    else entries.push(entry);
    return entry;
  }

  /**
   * Runs an action now as part of a process.
   *
   * @param owner - the process
   * @param action - the action
   */
  async runAs(owner: SimulatedProcess | null, action: () => void): Promise<void> {
    this.#owner = owner;
    action();
    await flushPromises();
    this.#owner = null;
  }

  /**
   * Lets time pass.
   *
   * @param ms - how long
   */
  async advance(ms: number): Promise<void> {
    const end = this.now + ms;
    while (this.now < end) {
      this.now += 1;
      const entries = this.#scheduled.get(this.now) ?? [];
      this.#scheduled.delete(this.now);
      for (const entry of entries) await this.#perform(entry);
    }
  }

  /** Replaces the timer functions until `uninstall`. */
  install(): void {
    const start = (action: () => void, delayMs = 0, isRepeated = false): Timer => {
      const owner = this.#owner;
      let entry: ScheduledAction | null = null;
      const schedule = (): void => {
        entry = this.after(owner, delayMs, () => {
          if (isRepeated) schedule();
          action();
        });
      };
      schedule();
      const cancel = (): void => {
        if (entry !== null) entry.isCancelled = true;
      };
      return { cancel, unref: () => {} };
    };
    const clear = (timer?: Timer | null): void => timer?.cancel();
    Object.assign(globalThis, {
      setTimeout: (action: () => void, ms?: number) => start(action, ms),
      setInterval: (action: () => void, ms?: number) => start(action, ms, true),
      clearTimeout: clear,
      clearInterval: clear,
    });
  }

  /** Restores the timer functions. */
  uninstall(): void {
    Object.assign(globalThis, realTimers);
  }

  async #perform(entry: ScheduledAction): Promise<void> {
    const { owner, action } = entry;
    if (entry.isCancelled || owner?.isAlive === false) return;
    if (owner !== null && owner.pausedUntil > this.now) {
      const deferred = this.#scheduled.get(owner.pausedUntil);
      if (deferred === undefined) this.#scheduled.set(owner.pausedUntil, [entry]);
      else deferred.push(entry);
      return;
    }
    await this.runAs(owner, action);
  }
}
