import type { CodeName } from '../errors/registry.js';
import type { InstanceId } from '../directory/instance.js';
import type { Header } from '../model/call.js';
import type { AccountName, RequestId, RouteName, ServiceName } from '../model/names.js';
import type { Milliseconds } from '../model/time.js';
import type { Repeatability } from '../policy/policy.js';

/** Rank of a request for queueing and load shedding; lower values go first. */
export interface Rank {
  /** Nested calls go before root requests, whose refusal wastes no work. */
  readonly isNested: boolean;
  readonly accountPriority: number;
  readonly routePriority: number;
}

/** A request forwarded from the entry node to the node beside a backend server. */
export interface MeshCall {
  readonly requestId: RequestId;
  readonly route: RouteName;
  readonly service: ServiceName;
  /** Instance of the backend server that the request is addressed to. */
  readonly instance: InstanceId;
  /** Service on whose host the request originated. */
  readonly origin: ServiceName;
  readonly account: AccountName | null;
  readonly rank: Rank;
  readonly repeatability: Repeatability;
  /** Time to its deadline, from when the call was built, sent or submitted to a gate. */
  readonly timeLeftMs: Milliseconds;
  /** Time to its latency objective, from the same instant. */
  readonly objectiveLeftMs: Milliseconds;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
}

/** Load of the node beside a backend server, sent with each reply. */
export interface GateLoad {
  /** Number of requests running or waiting. */
  readonly busy: number;
  /** Concurrency limit, in requests. */
  readonly limit: number;
  /** Mean run time of a request. */
  readonly serviceTimeMs: Milliseconds;
  /** Load pressure from 0, where no request waits here, to 1, where most have to be refused. */
  readonly pressure: number;
  /**
   * Load pressure on the calls that the backend server makes, and on the processor of the node, of
   * which they use the most; from 0 to 1.
   */
  readonly downstreamPressure: number;
  readonly isCold: boolean;
  /** Whether the backend server states that it leaves. */
  readonly isLeaving: boolean;
}

/** Outcome of a call at a gate. */
export type MeshOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly headers: readonly Header[];
      readonly body: Uint8Array;
    }
  /** The request has not run and will not run. */
  | {
      readonly kind: 'refused';
      readonly code: CodeName;
      readonly retryAfterMs: Milliseconds;
      /** Whether the request reached the backend server, which rejected it. */
      readonly wasOffered: boolean;
    }
  /** The request may have run. */
  | { readonly kind: 'failed'; readonly code: CodeName };

/**
 * Builds the outcome of a request that has not run, without a delay after which it may come back.
 *
 * @param code - the reason
 * @param wasOffered - whether the backend server rejected it
 * @returns the outcome
 */
export function refusedOutcome(code: CodeName, wasOffered = false): MeshOutcome {
  return { kind: 'refused', code, retryAfterMs: 0, wasOffered };
}

/** Reply of a gate. */
export interface MeshReply {
  readonly outcome: MeshOutcome;
  readonly load: GateLoad;
}

/**
 * Takes time that has passed off the deadline and the latency objective of a call.
 *
 * @param call - the call
 * @param passedMs - time since its times were computed
 * @returns the call with the rest of its times, which are negative when they are over
 */
export function afterDelay(call: MeshCall, passedMs: Milliseconds): MeshCall {
  return {
    ...call,
    timeLeftMs: call.timeLeftMs - passedMs,
    objectiveLeftMs: call.objectiveLeftMs - passedMs,
  };
}

/**
 * Compares two ranks.
 *
 * @param left - one rank
 * @param right - the other
 * @returns below 0 when the left one goes first, above 0 when the right one does
 */
export function compareRanks(left: Rank, right: Rank): number {
  if (left.isNested !== right.isNested) return left.isNested ? -1 : 1;
  return left.accountPriority - right.accountPriority || left.routePriority - right.routePriority;
}
