import { randomInt } from 'node:crypto';
import type { Dispatcher } from 'undici';
import type { RawData } from 'ws';
import type { Log } from '../core/logs/log-entry.js';
import type { Topic } from '../core/model/document.js';
import type { BackendServerName, Incarnation } from '../core/model/names.js';
import type { Clock } from '../core/model/time.js';
import { probeServer, type ProbeResult } from './crash-probe.js';
import { openMeteredPool } from './metered-pool.js';
import { monotonicClock } from './monotonic-clock.js';
import { ReadPacer } from './read-pacer.js';
import { newIncarnation } from './request-ids.js';
import { openLog } from './roarr-log.js';
import { ServiceClient, type ServiceReply } from './service-client.js';

/** Part of a WebSocket that a link uses. */
export interface LinkSocket {
  readonly readyState: number;
  readonly OPEN: number;
  send(data: Uint8Array): void;
  close(): void;
  terminate(): void;
  on(event: 'message', listener: (data: RawData) => void): unknown;
  on(event: 'close', listener: () => void): unknown;
  on(event: 'error', listener: () => void): unknown;
  once(event: 'open', listener: () => void): unknown;
}

/** Pool of connections to the backend server. */
export type BackendPool = Pick<Dispatcher, 'dispatch'> & {
  close(): Promise<void>;
  destroy(): Promise<void>;
};

/** Reader of the configuration service; each read and each watch yields one reply. */
export interface ConfigurationReader {
  read(topic: Topic): void;
  watch(topic: Topic): void;
  close(): void;
}

/** Clock, randomness, log, sockets and services of a node; simulations replace them. */
export interface Environment {
  readonly clock: Clock;
  /** @returns a number of at least 0 and below 1 */
  readonly random: () => number;
  /** @returns an integer of at least 1 and below the limit */
  readonly randomInteger: (limit: number) => number;
  readonly newIncarnation: () => Incarnation;
  readonly openLog: (node: BackendServerName) => Log & { readonly flush: () => void };
  /** Whether the node collects the metrics of its process; at most one node may do so. */
  readonly hasProcessMetrics: boolean;
  /** Opens a connection to a peer address; null for a WebSocket with the node's TLS material. */
  readonly openLink: ((address: string) => LinkSocket) | null;
  /** Opens connections to the backend server, each for answers up to `maxBodyBytes`. */
  readonly openPool: (url: string, connections: number, maxBodyBytes: number) => BackendPool;
  readonly probeServer: (url: string) => Promise<ProbeResult>;
  readonly openService: (
    urls: readonly string[],
    onReply: (reply: ServiceReply) => void,
  ) => ConfigurationReader;
}

const CONNECT_TIMEOUT_MS = 1000;

const pacer = new ReadPacer(monotonicClock);

/** Environment of a production process. */
export const systemEnvironment: Environment = {
  clock: monotonicClock,
  random: Math.random,
  randomInteger: (limit) => randomInt(1, limit),
  newIncarnation,
  openLog,
  hasProcessMetrics: true,
  openLink: null,
  // Each connection carries one request at a time. With pipelining, the loss of a connection would
  // not show which of several requests had reached the backend server.
  openPool: (url, connections, maxBodyBytes) =>
    openMeteredPool(url, connections, {
      pacer,
      maxBodyBytes,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      answerTimeoutMs: 0,
    }),
  probeServer: (url) => probeServer(url, pacer),
  openService: (urls, onReply) => new ServiceClient(urls, onReply, pacer),
};
