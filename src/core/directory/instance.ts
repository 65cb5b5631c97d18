import type { ServiceName, ZoneName } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';

/** Identifier of one instance of a backend server, from its start to its end. */
export type InstanceId = string;

/** Whether a backend server accepts new requests or is draining. */
export type InstanceState = 'serving' | 'leaving';

/** A backend server as listed in the directory, which may be out of date. */
export interface Instance {
  readonly id: InstanceId;
  readonly service: ServiceName;
  /** `IP:port` of the backend server; its node has the same IP address. */
  readonly address: string;
  readonly zone: ZoneName;
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  readonly state: InstanceState;
  /** Remaining warm-up time when the entry was written. */
  readonly warmUpLeftMs: Milliseconds;
  /** Unix time of its start; distinguishes two instances with one identifier or address. */
  readonly startedAtUnixMs: number;
}
