import type { Header } from '../model/call.js';
import type { RequestId } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';

/** Decoded head of a caller's request. */
export interface IncomingHead {
  readonly requestId: RequestId | null;
  /** Timeout of the caller; null when the request does not state one. */
  readonly callerTimeoutMs: Milliseconds | null;
  readonly key: string | null;
  readonly host: string;
  readonly method: string;
  readonly path: string;
  /** Headers to forward, without the key and hop-by-hop headers. */
  readonly headers: readonly Header[];
}

/** Head and whole body of a caller's request. */
export interface IncomingRequest extends IncomingHead {
  readonly body: Uint8Array;
}

/** Limit that a backend server states for the requests of all nodes together. */
export type StatedLimit =
  | { readonly kind: 'none' }
  | { readonly kind: 'rate'; readonly ratePerSecond: number }
  /** The server states a limit that cannot be read. */
  | { readonly kind: 'unreadable'; readonly text: string };

/** What a backend server states about its condition in an answer. */
export interface BackendNotice {
  readonly limit: StatedLimit;
  readonly isLeaving: boolean;
}

/** Decoded head of a backend server's answer. */
export interface BackendHead {
  readonly status: number;
  /** Request that the answer belongs to; null when the answer does not state it. */
  readonly requestId: RequestId | null;
  /** Whether the backend server signed the answer. */
  readonly isSigned: boolean;
  /** Whether the backend server reports that the request has not run. */
  readonly isNotRun: boolean;
  /** Whether the answer came from an instance other than the addressed one. */
  readonly isMisdirected: boolean;
  readonly notice: BackendNotice;
  readonly headers: readonly Header[];
}

/** Decoded answer to a health check. */
export interface HealthReport {
  readonly isHealthy: boolean;
  readonly instanceId: string | null;
  /** Remaining warm-up time of the backend server. */
  readonly warmUpLeftMs: Milliseconds;
  readonly notice: BackendNotice;
}
