import type { Header } from '../model/call.js';
import type { RequestId } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';

/** What the head of a caller's request says. */
export interface IncomingHead {
  readonly requestId: RequestId | null;
  /** How long the caller waits; null when it does not say. */
  readonly callerTimeoutMs: Milliseconds | null;
  readonly key: string | null;
  readonly host: string;
  readonly method: string;
  readonly path: string;
  /** Headers that are passed on: without the key and what concerns one connection. */
  readonly headers: readonly Header[];
}

/** Head and whole body of a caller's request. */
export interface IncomingRequest extends IncomingHead {
  readonly body: Uint8Array;
}

/** What the head of a backend server's answer says. */
export interface BackendHead {
  readonly status: number;
  /** Request that the answer belongs to, when it says so. */
  readonly requestId: RequestId | null;
  /** Whether the backend server vouches for the answer. */
  readonly isSigned: boolean;
  /** Whether the backend server says that the request has not run. */
  readonly isNotRun: boolean;
  /** Whether another instance answered than the one that was named. */
  readonly isMisdirected: boolean;
  readonly headers: readonly Header[];
}

/** What a health answer says. */
export interface HealthReport {
  readonly isHealthy: boolean;
  readonly instanceId: string | null;
  /** How much longer the backend server is cold. */
  readonly warmUpLeftMs: Milliseconds;
}
