import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';
import { PROMISES } from '../core/promises/violation.js';

/** Histogram buckets in seconds; the smallest enclose the target of 0.79 ms added to a call. */
const DURATION_BUCKETS_S = [
  0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10,
] as const;

/** The metrics of one node. `docs/OPERATIONS.md` describes each of them. */
export class Metrics {
  readonly registry = new Registry();

  readonly brokenPromises = this.#counter(
    'almondhoist_promise_broken_total',
    'Assertions of promises that failed',
    ['promise'],
  );

  readonly answers = this.#counter(
    'almondhoist_entry_answers_total',
    'Answers to callers by result code',
    ['code'],
  );

  readonly gateAnswers = this.#counter(
    'almondhoist_gate_answers_total',
    'Answers of the gate by result code',
    ['code'],
  );

  readonly routing = this.#counter(
    'almondhoist_routing_decisions_total',
    'Choices of a backend server by reason code',
    ['code'],
  );

  readonly retries = this.#counter('almondhoist_retries_total', 'Extra sends by this node', []);

  readonly lateAnswers = this.#counter(
    'almondhoist_late_answers_total',
    'Answers that came when nobody waited for them any more',
    [],
  );

  readonly events = this.#counter(
    'almondhoist_events_total',
    'Events of peers, platform and start-up by code',
    ['code'],
  );

  readonly peerBytes = this.#counter(
    'almondhoist_peer_bytes_total',
    'Bytes of frames to and from other nodes by purpose',
    ['direction', 'purpose'],
  );

  readonly serviceReads = this.#counter(
    'almondhoist_service_reads_total',
    'Reads and watches of the configuration service',
    ['kind'],
  );

  readonly duration = new Histogram({
    name: 'almondhoist_request_duration_seconds',
    help: 'Time from the arrival of a request to its answer at the entry',
    buckets: [...DURATION_BUCKETS_S],
    registers: [this.registry],
  });

  readonly gateCalls = this.#gauge('almondhoist_gate_calls', 'Calls at the gate by state', [
    'state',
  ]);

  readonly gateLimit = this.#gauge(
    'almondhoist_gate_limit',
    'Calls that the gate lets run at the same time',
    [],
  );

  readonly gateAllocating = this.#gauge(
    'almondhoist_gate_allocating',
    '1 while the gate divides its capacity because its queue is too long, 0 otherwise',
    [],
  );

  readonly links = this.#gauge('almondhoist_links', 'Open links to other nodes', []);

  readonly documentVersion = this.#gauge(
    'almondhoist_document_version',
    'Version in force of each spread document',
    ['topic'],
  );

  readonly serviceAge = this.#gauge(
    'almondhoist_service_age_seconds',
    'Time since any node was known to have read the configuration service',
    [],
  );

  /**
   * @param hasProcessMetrics - whether to collect the default metrics of the process as well
   */
  constructor(hasProcessMetrics = true) {
    if (hasProcessMetrics) collectDefaultMetrics({ register: this.registry });
    // A promise that was never broken is exported as 0, so that a missing series stands out.
    PROMISES.forEach((promise) => this.brokenPromises.inc({ promise }, 0));
  }

  #counter<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[],
  ): Counter<Label> {
    return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] });
  }

  #gauge<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[],
  ): Gauge<Label> {
    return new Gauge({ name, help, labelNames: [...labelNames], registers: [this.registry] });
  }
}
