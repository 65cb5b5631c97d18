import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import {
  EXCHANGE_INTERVAL_MS,
  addNodeReports,
  isWorthBroadcasting,
  listSharedLoads,
  readNodeReports,
  readSharedLoads,
  type NodeRouteReport,
  type SharedRouteLoad,
} from '../core/shedding/load-exchange.js';
import type { RouteLoads } from '../core/shedding/route-load.js';
import type { LoadTask } from './load-task.js';

/** Options of the exchange. */
export interface LoadExchangeTaskOptions {
  readonly clock: Clock;
  readonly loads: LoadTask;
  /** @returns the address of the node that adds up the reports, or null when it is this node */
  readonly aggregator: () => string | null;
  readonly sendReports: (address: string, reports: readonly NodeRouteReport[]) => void;
  /** Sends the loads over all nodes to every node with a link to this one. */
  readonly broadcastLoads: (loads: readonly SharedRouteLoad[]) => void;
}

/** A node without reports for this time no longer is the one that adds them up. */
const AGGREGATOR_TIMEOUT_MS: Milliseconds = 1000;

/**
 * Task that reports the loads of this node's routes to the node that adds them up, and owns the
 * loads over all nodes while it is that node. The state is in memory only: a new aggregator starts
 * without loads, and nodes that hear nothing decide by their own replies.
 */
export class LoadExchangeTask {
  readonly #options: LoadExchangeTaskOptions;

  readonly #timer: NodeJS.Timeout;

  /** Loads over all nodes, from their reports. */
  #loads: RouteLoads = new Map();

  #reportedAt: Instant = Number.NEGATIVE_INFINITY;

  /**
   * @param options - clock, loads of this node and senders
   */
  constructor(options: LoadExchangeTaskOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#exchange(), EXCHANGE_INTERVAL_MS);
  }

  /**
   * Adds the reports of a node.
   *
   * @param value - the reports, as received
   * @returns the loads over all nodes, to send back
   */
  addReports(value: unknown): readonly SharedRouteLoad[] {
    const now = this.#options.clock.now();
    this.#reportedAt = now;
    this.#loads = addNodeReports(this.#loads, readNodeReports(value), now);
    return listSharedLoads(this.#loads, now);
  }

  /**
   * Applies the loads over all nodes.
   *
   * @param value - the loads, as received
   */
  applyLoads(value: unknown): void {
    this.#options.loads.send({ kind: 'loads-shared', loads: readSharedLoads(value) });
  }

  /** Stops the reports. */
  close(): void {
    clearInterval(this.#timer);
  }

  #exchange(): void {
    const { loads, aggregator, sendReports } = this.#options;
    this.#broadcast();
    const reports = loads.takeReports();
    if (reports.length === 0) return;
    const address = aggregator();
    if (address === null) this.applyLoads(this.addReports(reports));
    else sendReports(address, reports);
  }

  #broadcast(): void {
    const { clock, broadcastLoads } = this.#options;
    const now = clock.now();
    if (now - this.#reportedAt >= AGGREGATOR_TIMEOUT_MS) return;
    const shared = listSharedLoads(this.#loads, now);
    if (isWorthBroadcasting(shared)) broadcastLoads(shared);
  }
}
