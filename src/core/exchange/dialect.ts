import type { Header } from '../model/call.js';
import type { Milliseconds } from '../model/time.js';
import type { BackendHead, HealthReport, IncomingHead } from './incoming-request.js';
import type { MeshCall } from './mesh-call.js';

/** Head of an HTTP request before decoding; header names keep the case in which they were sent. */
export interface RawHead {
  readonly method: string;
  readonly target: string;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
}

/** Translates between the HTTP heads of a platform and requests, answers and health reports. */
export interface Dialect {
  readonly readRequest: (head: RawHead) => IncomingHead;
  /** Builds the headers of a request to a backend server. */
  readonly backendHeaders: (call: MeshCall, timeLeftMs: Milliseconds) => readonly Header[];
  /** Decodes the head of an answer; the header names have to be in lower case. */
  readonly readAnswer: (
    status: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ) => BackendHead;
  readonly readHealth: (
    status: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  ) => HealthReport;
}
