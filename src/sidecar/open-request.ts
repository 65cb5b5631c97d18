import type { ServerResponse } from 'node:http';
import type { IncomingHead } from '../core/exchange/incoming-request.js';
import type { MeshOutcome } from '../core/exchange/mesh-call.js';
import type { Instant } from '../core/model/time.js';
import type { Exchange } from './entry-task.js';

/** A request that has been read completely. */
export interface CompleteRequest {
  readonly head: IncomingHead;
  readonly response: ServerResponse;
  readonly body: Uint8Array;
  readonly arrivedAt: Instant;
  /** Called once, when the request is answered, cancelled or discarded. */
  readonly release: () => void;
}

/** A request of a connection until its answer is written. */
export class OpenRequest {
  readonly request: CompleteRequest;

  #exchange: Exchange | null = null;

  #outcome: MeshOutcome | null;

  /**
   * @param request - the request
   * @param outcome - its answer, when that is known from the start
   */
  constructor(request: CompleteRequest, outcome: MeshOutcome | null) {
    this.request = request;
    this.#outcome = outcome;
  }

  /** @returns the answer, or null before it is known */
  get outcome(): MeshOutcome | null {
    return this.#outcome;
  }

  /**
   * Records that the request is in progress, unless it has been answered meanwhile.
   *
   * @param exchange - the request in progress
   */
  start(exchange: Exchange): void {
    if (this.#outcome === null) this.#exchange = exchange;
  }

  /**
   * Records the answer and releases the body.
   *
   * @param outcome - the answer
   */
  answer(outcome: MeshOutcome): void {
    this.#exchange = null;
    this.#outcome = outcome;
    this.request.release();
  }

  /** Gives up a request without an answer. */
  cancel(): void {
    if (this.#outcome !== null) return;
    this.request.release();
    this.#exchange?.cancel();
  }
}
