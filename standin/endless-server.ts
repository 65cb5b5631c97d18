import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type { EndlessAnswer } from './endless-answers.js';

/** Message to the thread of the server. */
export type EndlessServerMessage =
  /** Answers calls whose path contains `mark` from now on so; null answers them correctly. */
  | { readonly kind: 'answer'; readonly answer: EndlessAnswer | null; readonly mark: string }
  | { readonly kind: 'report' };

/** What the server has seen. */
export interface EndlessServerReport {
  readonly kind: 'report';
  /** Calls that were answered without end. */
  readonly calls: number;
  /** Most of them at the same time. */
  readonly mostOpen: number;
}

/**
 * Stand-in for a backend server that answers without end. It runs in a thread of its own, which
 * leaves the thread of the test free to send and to receive.
 */
export class EndlessServer {
  readonly port: number;

  readonly #worker: Worker;

  private constructor(worker: Worker, port: number) {
    this.#worker = worker;
    this.port = port;
  }

  /**
   * Starts a server that answers correctly at first.
   *
   * @param ip - loopback address to listen on
   * @param instance - instance that the server names in health answers
   * @returns the server
   */
  static async start(ip: string, instance: string): Promise<EndlessServer> {
    const worker = new Worker(new URL('./endless-server-worker.js', import.meta.url), {
      workerData: { ip, instance },
    });
    const [listening] = (await once(worker, 'message')) as [{ readonly port: number }];
    return new EndlessServer(worker, listening.port);
  }

  /**
   * Changes how calls are answered.
   *
   * @param answer - the answer without end; null answers correctly
   * @param mark - part of the paths of the calls that are answered so; empty for all calls
   */
  setAnswer(answer: EndlessAnswer | null, mark = ''): void {
    this.#send({ kind: 'answer', answer, mark });
  }

  /** @returns what the server has seen so far */
  async report(): Promise<EndlessServerReport> {
    this.#send({ kind: 'report' });
    const [report] = (await once(this.#worker, 'message')) as [EndlessServerReport];
    return report;
  }

  /** Ends the thread with all its connections. */
  async close(): Promise<void> {
    await this.#worker.terminate();
  }

  #send(message: EndlessServerMessage): void {
    this.#worker.postMessage(message);
  }
}
