import type { Dialect } from '../core/exchange/dialect.js';
import type { Log } from '../core/logs/log-entry.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import type { ValueDecoder } from '../core/publications/interpretation.js';
import type { StoreReader } from '../core/publications/store-reply.js';
import type { ReadPacer } from '../runtime/read-pacer.js';
import type { ReadyPaths } from './ready-server.js';

/** External dependencies of a node on the platform. */
export interface SidecarDependencies {
  readonly clock: Clock;
  /** @returns the time of day in milliseconds */
  readonly timeOfDay: () => Milliseconds;
  /** @returns a fraction at least 0 and below 1 */
  readonly random: () => number;
  readonly log: Log & { readonly flush: () => void };
  readonly dialect: Dialect;
  /** Paces the reading of all connections to servers. */
  readonly pacer: ReadPacer;
  readonly store: StoreReader;
  readonly decodeValue: ValueDecoder;
  readonly paths: ReadyPaths;
}
