import type { Header } from '../model/call.js';
import type { Milliseconds } from '../model/time.js';
import type { BackendHead, HealthReport, IncomingHead } from './incoming-request.js';
import type { MeshCall } from './mesh-call.js';

/** Head of an HTTP request as it was read; header names as they were sent. */
export interface RawHead {
  readonly method: string;
  readonly target: string;
  /** Names and values by turns. */
  readonly rawHeaders: readonly string[];
}

/** Names and values of the headers by which callers and backend servers are spoken to. */
export interface Dialect {
  readonly readRequest: (head: RawHead) => IncomingHead;
  /** Headers of a request to a backend server. */
  readonly backendHeaders: (call: MeshCall, timeLeftMs: Milliseconds) => readonly Header[];
  /** Headers of an answer in lower case. */
  readonly readAnswer: (
    status: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ) => BackendHead;
  readonly readHealth: (
    status: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ) => HealthReport;
}
