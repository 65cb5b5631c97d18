import type { Instance } from '../core/directory/instance.js';
import type { AdmittedRequest } from '../core/exchange/admission-pipeline.js';
import type { MeshOutcome } from '../core/exchange/mesh-call.js';
import { emptySendHistory, type SendHistory } from '../core/placement/next-send.js';
import type { GateCall } from './gate-call.js';

/** A call in flight at a gate. */
export interface CurrentCall {
  readonly call: GateCall;
  readonly instance: Instance;
}

/** Takes the answer of a request; called once, unless the request is cancelled before. */
export type AnswerHandler = (outcome: MeshOutcome) => void;

/** State of one request from its admission to its answer. */
export class PlacedRequest {
  readonly admitted: AdmittedRequest;

  readonly #answer: AnswerHandler;

  readonly #tried = new Set<string>();

  #timer: NodeJS.Timeout | null = null;

  #current: CurrentCall | null = null;

  #history: SendHistory = emptySendHistory;

  #isEnded = false;

  /**
   * @param admitted - the request, which has passed all filters
   * @param answer - takes its answer
   */
  constructor(admitted: AdmittedRequest, answer: AnswerHandler) {
    this.admitted = admitted;
    this.#answer = answer;
  }

  /** @returns whether the request was answered or cancelled */
  get isEnded(): boolean {
    return this.#isEnded;
  }

  /** @returns identifiers of the instances that the request was sent to, in order */
  get tried(): ReadonlySet<string> {
    return this.#tried;
  }

  /** @returns the call in flight at a gate, or null */
  get current(): CurrentCall | null {
    return this.#current;
  }

  /** @returns the results of all sends so far */
  get history(): SendHistory {
    return this.#history;
  }

  /**
   * Records that the request is sent to an instance.
   *
   * @param instance - the instance
   */
  recordSend(instance: Instance): void {
    this.#tried.add(instance.id);
  }

  /**
   * @param current - the call that is now in flight, or null after its end
   */
  setCurrent(current: CurrentCall | null): void {
    this.#current = current;
  }

  /**
   * @param history - the results of all sends so far
   */
  setHistory(history: SendHistory): void {
    this.#history = history;
  }

  /**
   * @param timer - timer of the deadline, which is cleared at the end of the request
   */
  setTimer(timer: NodeJS.Timeout): void {
    this.#timer = timer;
  }

  /**
   * Ends the request. Further calls have no effect.
   *
   * @param outcome - the answer, or null when the caller no longer waits for it
   * @returns false if the request had already ended
   */
  end(outcome: MeshOutcome | null): boolean {
    if (this.#isEnded) return false;
    this.#isEnded = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
    if (outcome !== null) this.#answer(outcome);
    return true;
  }
}
