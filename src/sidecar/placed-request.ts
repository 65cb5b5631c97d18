import type { Instance } from '../core/directory/instance.js';
import type { AdmittedRequest } from '../core/exchange/admission-pipeline.js';
import type { MeshOutcome } from '../core/exchange/mesh-call.js';
import { emptySendHistory, type SendHistory } from '../core/placement/next-send.js';
import type { GateCall } from './gate-call.js';

/** A call that is with a gate. */
export interface CurrentCall {
  readonly call: GateCall;
  readonly instance: Instance;
}

/** One request between its filters and its answer. */
export class PlacedRequest {
  readonly admitted: AdmittedRequest;

  /** Resolves with the answer; never when the caller leaves before. */
  readonly outcome: Promise<MeshOutcome>;

  readonly #tried = new Set<string>();

  #resolve: (outcome: MeshOutcome) => void = () => {};

  #timer: NodeJS.Timeout | null = null;

  #current: CurrentCall | null = null;

  #history: SendHistory = emptySendHistory;

  #isEnded = false;

  /**
   * @param admitted - the request after its filters
   */
  constructor(admitted: AdmittedRequest) {
    this.admitted = admitted;
    this.outcome = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** @returns whether it was answered or given up */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** @returns instances that it was sent to, in their order */
  get tried(): ReadonlySet<string> {
    return this.#tried;
  }

  /** @returns the call that is with a gate, or null */
  get current(): CurrentCall | null {
    return this.#current;
  }

  /** @returns what its sends came to */
  get history(): SendHistory {
    return this.#history;
  }

  /**
   * @param instance - instance that it is sent to now
   */
  try(instance: Instance): void {
    this.#tried.add(instance.id);
  }

  /**
   * @param current - the call that is with a gate now, or null after its end
   */
  setCurrent(current: CurrentCall | null): void {
    this.#current = current;
  }

  /**
   * @param history - what its sends came to
   */
  setHistory(history: SendHistory): void {
    this.#history = history;
  }

  /**
   * @param timer - timer of the deadline
   */
  setTimer(timer: NodeJS.Timeout): void {
    this.#timer = timer;
  }

  /**
   * Ends the request once.
   *
   * @param outcome - the answer, or null when nobody waits for one
   * @returns false when it had ended before
   */
  end(outcome: MeshOutcome | null): boolean {
    if (this.#isEnded) return false;
    this.#isEnded = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
    if (outcome !== null) this.#resolve(outcome);
    return true;
  }
}
