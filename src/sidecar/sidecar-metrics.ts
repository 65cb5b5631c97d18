import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { GateLoad } from '../core/exchange/mesh-call.js';

/** Buckets in seconds; the lowest ones resolve the target of 0.79 ms added to a call. */
const DURATION_BUCKETS_S = [
  0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10,
] as const;

/** State of a node that its gauges show. */
export interface NodeStatus {
  /** Open links to other nodes. */
  readonly links: number;
  /** Whether the node reads the store itself. */
  readonly isStoreReader: boolean;
  readonly load: GateLoad;
  /** Calls that the gate lets run at the same time. */
  readonly gateLimit: number;
  /** Admitted share of the requests by route, from 0 to 1. */
  readonly admittedShares: ReadonlyMap<string, number>;
  /** Share of the time in which the event loop handled events. */
  readonly processorUtilization: number;
}

/** Metrics of a node on the platform, described in `docs/OPERATIONS.md`. */
export class SidecarMetrics {
  readonly registry = new Registry();

  readonly entryAnswers = new Counter({
    name: 'almondhoist_entry_answers_total',
    help: 'Answers to callers by result code',
    labelNames: ['code'],
    registers: [this.registry],
  });

  readonly gateAnswers = new Counter({
    name: 'almondhoist_gate_answers_total',
    help: 'Answers of the gate by result code',
    labelNames: ['code'],
    registers: [this.registry],
  });

  readonly retries = new Counter({
    name: 'almondhoist_retries_total',
    help: 'Requests sent to another backend server, by whether the budget had room',
    labelNames: ['granted'],
    registers: [this.registry],
  });

  readonly events = new Counter({
    name: 'almondhoist_events_total',
    help: 'Events of peers, platform and start-up by code',
    labelNames: ['code'],
    registers: [this.registry],
  });

  readonly brokenPromises = new Counter({
    name: 'almondhoist_promise_broken_total',
    help: 'Assertions of promises that failed',
    labelNames: ['promise'],
    registers: [this.registry],
  });

  readonly requestDuration = new Histogram({
    name: 'almondhoist_request_duration_seconds',
    help: 'Time from the arrival of a request to its answer at the entry',
    buckets: [...DURATION_BUCKETS_S],
    registers: [this.registry],
  });

  readonly eventLoopDelay = new Histogram({
    name: 'almondhoist_event_loop_delay_seconds',
    help: 'Delay of a regular timer, which handled events cause',
    buckets: [...DURATION_BUCKETS_S],
    registers: [this.registry],
  });

  readonly processorUtilization = new Gauge({
    name: 'almondhoist_processor_utilization',
    help: 'Share of the time in which the event loop handled events, when it was last measured',
    registers: [this.registry],
  });

  readonly answerBytes = new Counter({
    name: 'almondhoist_answer_bytes_total',
    help: 'Bytes of the answers of the backend server: all on the wire, and those of bodies',
    labelNames: ['part'],
    registers: [this.registry],
  });

  readonly answerChunks = new Counter({
    name: 'almondhoist_answer_chunks_total',
    help: 'Pieces in which the bodies of answers of the backend server arrived',
    registers: [this.registry],
  });

  readonly pacedConnections = new Gauge({
    name: 'almondhoist_paced_connections',
    help: 'Connections to servers that bring more work than their share and wait to be read further',
    registers: [this.registry],
  });

  readonly heldBytes = new Gauge({
    name: 'almondhoist_held_bytes',
    help: 'Bytes of bodies in memory by their holder',
    labelNames: ['holder'],
    registers: [this.registry],
  });

  readonly heapBytes = new Gauge({
    name: 'almondhoist_heap_bytes',
    help: 'Bytes of objects on the heap; the process ends at the limit',
    registers: [this.registry],
  });

  readonly heapLimitBytes = new Gauge({
    name: 'almondhoist_heap_limit_bytes',
    help: 'Limit of the heap',
    registers: [this.registry],
  });

  readonly externalBytes = new Gauge({
    name: 'almondhoist_external_bytes',
    help: 'Bytes of buffers outside of the heap',
    registers: [this.registry],
  });

  readonly policyVersion = new Gauge({
    name: 'almondhoist_policy_version',
    help: 'Version of the policy in force',
    registers: [this.registry],
  });

  readonly storeReader = new Gauge({
    name: 'almondhoist_store_reader',
    help: 'Whether the node reads the store itself (1) or is fed by another (0)',
    registers: [this.registry],
  });

  readonly links = new Gauge({
    name: 'almondhoist_links',
    help: 'Open links to other nodes',
    registers: [this.registry],
  });

  readonly gateLimit = new Gauge({
    name: 'almondhoist_gate_call_limit',
    help: 'Calls that the gate lets run at the same time',
    registers: [this.registry],
  });

  readonly admittedShare = new Gauge({
    name: 'almondhoist_admitted_share',
    help: 'Share of the requests of a route that the entry admits, for its least important accounts',
    labelNames: ['route'],
    registers: [this.registry],
  });

  readonly pressure = new Gauge({
    name: 'almondhoist_gate_pressure',
    help: 'Share of the allowed wait that calls face at the gate and behind it',
    registers: [this.registry],
  });

  /**
   * Updates the gauges of the node.
   *
   * @param status - the present state of the node
   */
  updateStatus(status: NodeStatus): void {
    const { pressure, downstreamPressure } = status.load;
    this.links.set(status.links);
    this.storeReader.set(status.isStoreReader ? 1 : 0);
    this.pressure.set(Math.max(pressure, downstreamPressure));
    this.gateLimit.set(status.gateLimit);
    status.admittedShares.forEach((share, route) => this.admittedShare.set({ route }, share));
    this.processorUtilization.set(status.processorUtilization);
  }
}
