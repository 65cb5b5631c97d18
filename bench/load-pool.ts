import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import type { LoadTarget, RequestRecord } from './load.js';
import type { BenchAccount } from './topology.js';

/** Options of a worker thread. */
export interface LoadWorkerData {
  readonly target: LoadTarget;
  readonly seed: number;
  readonly firstOrderNumber: number;
  /** Step between order numbers, so that no two workers use the same one. */
  readonly stride: number;
}

/** Messages to a worker. */
export type LoadCommand =
  | { readonly kind: 'rate'; readonly account: BenchAccount; readonly perSecond: number }
  | { readonly kind: 'crash'; readonly account: BenchAccount }
  | { readonly kind: 'stop' };

/** Messages from a worker. */
export type LoadReport =
  | { readonly kind: 'ended'; readonly record: RequestRecord }
  | { readonly kind: 'stopped'; readonly nextOrderNumber: number };

/** One thread saturates at about 750 requests per second, each with its retries. */
const WORKER_COUNT = 3;

/** Load generators in worker threads; each account is assigned to one of them. */
export class LoadPool {
  readonly records: RequestRecord[] = [];

  readonly #accounts: readonly BenchAccount[];

  readonly #workers: readonly Worker[];

  #nextOrderNumber: number;

  /**
   * @param target - variant, deployment and entries
   * @param seed - seed of arrival times, request mix and choice of entry
   * @param firstOrderNumber - first order number; numbers must be unique in a deployment
   */
  constructor({ variant, topology, entries }: LoadTarget, seed: number, firstOrderNumber: number) {
    const target = { variant, topology, entries };
    this.#accounts = topology.accounts;
    this.#nextOrderNumber = firstOrderNumber;
    this.#workers = Array.from({ length: WORKER_COUNT }, (_, index) => {
      const workerData: LoadWorkerData = {
        target,
        seed: seed * WORKER_COUNT + index,
        firstOrderNumber: firstOrderNumber + index,
        stride: WORKER_COUNT,
      };
      const worker = new Worker(new URL('./load-worker.js', import.meta.url), { workerData });
      worker.on('message', (report: LoadReport) => this.#handleReport(report));
      return worker;
    });
  }

  /** @returns first order number that the next pool can use */
  get nextOrderNumber(): number {
    return this.#nextOrderNumber;
  }

  /**
   * Sets the arrival rate of one account and draws a new time for the next arrival.
   *
   * @param account - account that sends the requests
   * @param perSecond - mean root requests per second, without retries
   */
  setRate(account: BenchAccount, perSecond: number): void {
    this.#send({ kind: 'rate', account, perSecond });
  }

  /**
   * Sends one request whose body crashes the backend server that runs it.
   *
   * @param account - account that sends the request
   */
  sendCrashRequest(account: BenchAccount): void {
    this.#send({ kind: 'crash', account });
  }

  /** Stops arrivals and waits for requests in flight, which the timeout of callers bounds. */
  async stop(): Promise<void> {
    const exits = this.#workers.map((worker) => once(worker, 'exit'));
    this.#workers.forEach((worker) => worker.postMessage({ kind: 'stop' } satisfies LoadCommand));
    await Promise.all(exits);
  }

  #send(message: LoadCommand & { readonly account: BenchAccount }): void {
    const index = this.#accounts.findIndex(({ name }) => name === message.account.name);
    this.#workers[index % WORKER_COUNT]?.postMessage(message);
  }

  #handleReport(report: LoadReport): void {
    switch (report.kind) {
      case 'ended':
        this.records.push(report.record);
        break;
      case 'stopped':
        this.#nextOrderNumber = Math.max(
          this.#nextOrderNumber,
          report.nextOrderNumber + WORKER_COUNT,
        );
        break;
    }
  }
}
