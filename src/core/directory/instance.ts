import type { ServiceName, ZoneName } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';

/** Identifier of one run of a backend server. */
export type InstanceId = string;

/** Whether a backend server takes new work. */
export type InstanceState = 'serving' | 'leaving';

/** A backend server as the directory lists it. The list lags. */
export interface Instance {
  readonly id: InstanceId;
  readonly service: ServiceName;
  /** `IP:port` of the backend server; its node stands at the same IP. */
  readonly address: string;
  readonly zone: ZoneName;
  /** Requests that it runs at the same time. */
  readonly slots: number;
  readonly state: InstanceState;
  /** How much longer it was cold when the entry was written. */
  readonly warmUpLeftMs: Milliseconds;
  /** Unix time of its start; tells two runs with one identifier or address apart. */
  readonly startedAtUnixMs: number;
}
