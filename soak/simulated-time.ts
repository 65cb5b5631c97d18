import type { SimulatedProcess } from './simulated-process.js';

interface ScheduledAction {
  readonly owner: SimulatedProcess | null;
  readonly action: () => void;
  isCancelled: boolean;
}

/** Handle that the replaced timer functions return. */
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

/** Simulated clock in whole milliseconds that replaces the global timer functions during a run. */
export class SimulatedTime {
  now = 0;

  readonly #scheduled = new Map<number, ScheduledAction[]>();

  /**
   * Process whose action is running. Pending promises are flushed after each action, so every timer
   * that the action sets belongs to this process.
   */
  #owner: SimulatedProcess | null = null;

  /**
   * Schedules an action.
   *
   * @param owner - process that the action belongs to, or null for the environment of the nodes
   * @param delayMs - delay in milliseconds, at least 1
   * @param action - action to run
   * @returns the scheduled action, which can be cancelled
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
   * Runs an action immediately as part of a process and flushes the promises.
   *
   * @param owner - process that owns the timers which the action sets
   * @param action - action to run
   */
  async runAs(owner: SimulatedProcess | null, action: () => void): Promise<void> {
    this.#owner = owner;
    action();
    await flushPromises();
    this.#owner = null;
  }

  /**
   * Advances the clock and runs all actions that become due.
   *
   * @param ms - duration in milliseconds
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

  /** Replaces the global timer functions until `uninstall` is called. */
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

  /** Restores the global timer functions. */
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
