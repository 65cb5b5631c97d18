import { Map, OrderedMap, OrderedSet, Set } from 'immutable';
import type { CodeName } from '../errors/registry.js';
import type { Header, Outcome } from '../model/call.js';
import type { RequestId } from '../model/names.js';
import type { Instant } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';
import { step, type Decision, type Step } from '../task/decision.js';
import type { OrderEffect, OrderMessage } from './order-message.js';

/** Time for which an order is remembered, counted from the issue of its identifier. */
export const ORDER_LIFETIME_MS = 900_000;

/** Longest answer body that is kept for repeated requests. */
export const MAX_KEPT_BODY_BYTES = 65_536;

const DEFAULT_MAX_RECORDS = 100_000;

/**
 * Time for which records outlive their identifiers. The age of an identifier is measured before its
 * message is handled, so without this margin a late message could find its record removed and run
 * the order again.
 */
const EXPIRY_MARGIN_MS = 60_000;

/** Limit on the records removed in one step, to keep the step short. */
const MAX_EXPIRED_PER_STEP = 1000;

type RecordState =
  | { readonly kind: 'running'; readonly waiting: Set<RequestId> }
  | { readonly kind: 'answered'; readonly outcome: Outcome }
  /** Answered, but the body was too large to keep. */
  | { readonly kind: 'dropped'; readonly status: number; readonly headers: readonly Header[] }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown'; readonly outcome: Outcome };

/** Record of one order at its home. */
interface OrderRecord {
  readonly fingerprint: string;
  readonly state: RecordState;
  /** Runs that reached, or may have reached, a backend server; asserted to be at most one. */
  readonly runs: number;
  /** Request that started the present run. */
  readonly runRequestId: RequestId;
}

/** State of the order ledger, which keeps each order from running more than once. */
export interface OrderLedger {
  readonly maxRecords: number;
  readonly records: Map<string, OrderRecord>;
  /** Instant from which a record may be removed, in order of the first run. */
  readonly expiries: OrderedMap<string, Instant>;
  /** Orders that did not run, oldest first; they are evicted when the ledger is full. */
  readonly notRun: OrderedSet<string>;
}

/** Settings of the ledger. */
export interface OrderLedgerOptions {
  readonly maxRecords?: number;
}

type LedgerStep = Step<OrderLedger, OrderEffect>;
type Begin = Extract<OrderMessage, { kind: 'begin' }>;
type Settled = Extract<OrderMessage, { kind: 'settled' }>;

/**
 * Creates an empty ledger. A restarted home also starts with an empty one, since identifiers of an
 * earlier incarnation are refused before they reach the ledger.
 *
 * @param options - the largest number of records
 * @returns the ledger
 */
export function initialOrderLedger(options: OrderLedgerOptions = {}): OrderLedger {
  const { maxRecords = DEFAULT_MAX_RECORDS } = options;
  return { maxRecords, records: Map(), expiries: OrderedMap(), notRun: OrderedSet() };
}

function withRecord(ledger: OrderLedger, orderId: string, record: OrderRecord): OrderLedger {
  return { ...ledger, records: ledger.records.set(orderId, record) };
}

function reject(ledger: OrderLedger, requestId: RequestId, code: CodeName): LedgerStep {
  return step<OrderLedger, OrderEffect>(ledger, { kind: 'reject', requestId, code });
}

function assertAtMostOnce(orderId: string, runs: number): readonly Violation[] {
  return assertPromise('at-most-once', runs <= 1, () => `order ${orderId} ran ${runs} times`);
}

function startRun(
  ledger: OrderLedger,
  message: Begin,
  previousRuns: number,
  now: Instant,
): LedgerStep {
  const { orderId, requestId, fingerprint } = message;
  const runs = previousRuns + 1;
  const state = { kind: 'running', waiting: Set<RequestId>() } as const;
  const record = { fingerprint, state, runs, runRequestId: requestId };
  const removableAt = now + ORDER_LIFETIME_MS + EXPIRY_MARGIN_MS;
  return step<OrderLedger, OrderEffect>(
    {
      ...withRecord(ledger, orderId, record),
      notRun: ledger.notRun.delete(orderId),
      expiries: ledger.expiries.has(orderId)
        ? ledger.expiries
        : ledger.expiries.set(orderId, removableAt),
    },
    { kind: 'run', orderId, requestId },
    ...assertAtMostOnce(orderId, runs),
  );
}

function answerRepeat(
  ledger: OrderLedger,
  message: Begin,
  record: OrderRecord,
  now: Instant,
): LedgerStep {
  const { orderId, requestId } = message;
  const { state } = record;
  switch (state.kind) {
    case 'running': {
      // The request that started the run is answered at its end; as a waiting request too, it
      // would be answered twice.
      if (requestId === record.runRequestId) return step(ledger);
      const waiting = state.waiting.add(requestId);
      return step(withRecord(ledger, orderId, { ...record, state: { ...state, waiting } }));
    }
    case 'answered':
    case 'unknown':
      return step<OrderLedger, OrderEffect>(ledger, {
        kind: 'answer',
        requestId,
        outcome: state.outcome,
      });
    case 'dropped':
      return step<OrderLedger, OrderEffect>(ledger, {
        kind: 'reject',
        requestId,
        code: 'orderAnswerDropped',
        kept: { status: state.status, headers: state.headers },
      });
    case 'not-run':
      return startRun(ledger, message, record.runs, now);
  }
}

/** An order that did not run may be evicted, since it may run with or without a record. */
function evictOldestNotRun(ledger: OrderLedger): OrderLedger {
  const oldest = ledger.notRun.first();
  if (ledger.records.size < ledger.maxRecords || oldest === undefined) return ledger;
  return {
    ...ledger,
    records: ledger.records.delete(oldest),
    expiries: ledger.expiries.delete(oldest),
    notRun: ledger.notRun.delete(oldest),
  };
}

function begin(ledger: OrderLedger, message: Begin, now: Instant): LedgerStep {
  const { orderId, requestId, fingerprint, ageMs } = message;
  if (ageMs >= ORDER_LIFETIME_MS) return reject(ledger, requestId, 'orderUnknown');
  const record = ledger.records.get(orderId);
  if (record !== undefined) {
    return record.fingerprint === fingerprint
      ? answerRepeat(ledger, message, record, now)
      : reject(ledger, requestId, 'orderMismatch');
  }
  const evicted = evictOldestNotRun(ledger);
  return evicted.records.size < evicted.maxRecords
    ? startRun(evicted, message, 0, now)
    : reject(ledger, requestId, 'ordersFull');
}

function stateAfterRun(outcome: Outcome): RecordState {
  switch (outcome.kind) {
    case 'answered': {
      const { status, headers, body } = outcome;
      return body.length > MAX_KEPT_BODY_BYTES
        ? { kind: 'dropped', status, headers }
        : { kind: 'answered', outcome };
    }
    case 'refused':
      return { kind: 'not-run' };
    case 'failed':
      return { kind: 'unknown', outcome };
  }
}

function settle(ledger: OrderLedger, message: Settled): LedgerStep {
  const { orderId, requestId, outcome } = message;
  const record = ledger.records.get(orderId);
  // The late end of an earlier run must not settle the present run.
  if (record?.state.kind !== 'running' || record.runRequestId !== requestId) return step(ledger);
  const isNotRun = outcome.kind === 'refused';
  const state = stateAfterRun(outcome);
  const runs = isNotRun ? record.runs - 1 : record.runs;
  const answers = [requestId, ...record.state.waiting].map(
    (waiting) => ({ kind: 'answer', requestId: waiting, outcome }) as const,
  );
  const notRun = isNotRun ? ledger.notRun.add(orderId) : ledger.notRun;
  return step({ ...withRecord(ledger, orderId, { ...record, state, runs }), notRun }, ...answers);
}

function abandon(ledger: OrderLedger, orderId: string, requestId: RequestId): OrderLedger {
  const record = ledger.records.get(orderId);
  if (record?.state.kind !== 'running') return ledger;
  const waiting = record.state.waiting.delete(requestId);
  return withRecord(ledger, orderId, { ...record, state: { ...record.state, waiting } });
}

/** Removes records whose identifiers are refused by age; running orders are kept until they end. */
function removeExpired(ledger: OrderLedger, now: Instant): OrderLedger {
  const due = ledger.expiries
    .toSeq()
    .takeWhile((removableAt) => removableAt <= now)
    .take(MAX_EXPIRED_PER_STEP)
    .keySeq()
    .filter((orderId) => ledger.records.get(orderId)?.state.kind !== 'running')
    .toArray();
  if (due.length === 0) return ledger;
  return {
    ...ledger,
    records: ledger.records.deleteAll(due),
    expiries: ledger.expiries.deleteAll(due),
    notRun: ledger.notRun.subtract(due),
  };
}

/**
 * Decides for the ledger of orders of which this node is the home.
 *
 * @param state - the ledger
 * @param message - the message to handle
 * @param now - the present instant of the home's monotonic clock
 * @returns the next state, the runs to start and the answers to give
 */
export const decideOrders: Decision<OrderLedger, OrderMessage, OrderEffect> = (
  state,
  message,
  now,
) => {
  switch (message.kind) {
    case 'begin':
      return begin(state, message, now);
    case 'settled':
      return settle(state, message);
    case 'abandoned':
      return step(abandon(state, message.orderId, message.requestId));
    case 'tick':
      return step(removeExpired(state, now));
  }
};
