import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Instance } from '../../../src/core/directory/instance.js';
import type { GateLoad } from '../../../src/core/exchange/mesh-call.js';
import { chooseGate } from '../../../src/core/placement/choose-gate.js';
import {
  initialGateView,
  recordEnd,
  recordSent,
  type GateView,
} from '../../../src/core/placement/gate-view.js';
import {
  expectServiceTime,
  recordServiceTime,
  type ServiceTime,
} from '../../../src/core/placement/service-time.js';
import {
  decideNextStep,
  emptySendHistory,
  type SendResult,
} from '../../../src/core/placement/next-send.js';
import { createRandom } from '../../../standin/process.js';

function instance(id: string, zone: string): Instance {
  return {
    id,
    service: 'stock',
    address: `10.0.0.${id}:80`,
    zone,
    slots: 10,
    state: 'serving',
    warmUpLeftMs: 0,
    startedAtUnixMs: 1,
  };
}

function load(change: Partial<GateLoad>): GateLoad {
  return {
    busy: 0,
    limit: 10,
    serviceTimeMs: 20,
    downstreamPressure: 0,
    pressure: 0,
    isCold: false,
    isLeaving: false,
    ...change,
  };
}

function view(change: Partial<GateLoad>): GateView {
  return recordEnd(initialGateView, 'answered', load(change), 0);
}

const NOW = 10;

/** Service time of gates without a recent report, as the reports of the others let expect it. */
function expectedServiceTime(views: ReadonlyMap<string, GateView>): number {
  const known = [...views.values()].reduce<ServiceTime | undefined>(
    (before, { load: reported, loadReceivedAt }) =>
      reported === null || NOW - loadReceivedAt >= 2000
        ? before
        : recordServiceTime(before, reported.serviceTimeMs, loadReceivedAt),
    undefined,
  );
  return expectServiceTime(known, NOW);
}

function countChoices(views: ReadonlyMap<string, GateView>): ReadonlyMap<string, number> {
  const random = createRandom(7);
  const counts = new Map<string, number>();
  for (let round = 0; round < 200; round += 1) {
    const chosen = chooseGate({
      gates: { local: [instance('1', 'a'), instance('2', 'a')], remote: [instance('3', 'b')] },
      views,
      tried: new Set(),
      isLeaving: () => false,
      isReachable: () => true,
      expectedServiceTimeMs: expectedServiceTime(views),
      now: NOW,
      random,
    });
    const id = chosen?.instance.id ?? 'none';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

/** View of a gate that answered at `now` and has not replied to two calls, the last at `sentAt`. */
function silentGate(now: number, sentAt: number): GateView {
  const answered = recordEnd(initialGateView, 'answered', load({}), now);
  return recordSent(recordSent(answered, now), sentAt);
}

test('a stalled gate, which replies to none of its calls, is avoided', () => {
  // Guards against a host without power that receives all calls of its service for a second.
  const others = [
    ['2', view({ busy: 9 })],
    ['3', view({ busy: 9 })],
  ] as const;
  const silent = countChoices(new Map([['1', silentGate(-400, 0)], ...others]));
  assert.equal(silent.get('1'), undefined);
  const recent = countChoices(new Map([['1', silentGate(-100, 0)], ...others]));
  assert.ok((recent.get('1') ?? 0) > 0);
});

test('a stalled gate that received no call for a second is tried again', () => {
  // Guards against a gate that is never used again because a caller gave up before its reply.
  const others = [
    ['2', view({ busy: 9 })],
    ['3', view({ busy: 9 })],
  ] as const;
  const retried = countChoices(new Map([['1', silentGate(-1500, -1200)], ...others]));
  assert.ok((retried.get('1') ?? 0) > 0);
});

test('a reply to any call shows that a gate has not stalled', () => {
  // Guards against avoiding a gate with long-running calls while it answers others.
  const waiting = recordSent(recordSent(initialGateView, -900), -900);
  const answering = recordEnd(waiting, 'answered', load({}), 0);
  const counts = countChoices(
    new Map([
      ['1', recordSent(answering, 5)],
      ['2', view({ busy: 15 })],
      ['3', view({ busy: 15 })],
    ]),
  );
  assert.equal(counts.get('1'), 200);
});

test('gates of the own zone are preferred while they have free capacity', () => {
  // Guards against traffic between zones without any benefit.
  const counts = countChoices(
    new Map([
      ['1', view({})],
      ['2', view({})],
      ['3', view({})],
    ]),
  );
  assert.equal(counts.get('3'), undefined);
});

test('calls go to another zone when the own zone is overloaded', () => {
  // Guards against refusing calls in one zone while another one is idle.
  const counts = countChoices(
    new Map([
      ['1', view({ busy: 15 })],
      ['2', view({ busy: 15 })],
      ['3', view({})],
    ]),
  );
  assert.equal(counts.get('3'), 200);
});

test('a gate without a recent report gets its share beside fast gates', () => {
  // Guards against a backend server that joins a fast service and is never used: its gate was
  // expected to be slower than the others until it had reported.
  const counts = countChoices(new Map([['1', view({ serviceTimeMs: 18, busy: 1 })]]));
  assert.ok((counts.get('2') ?? 0) > 50, `${counts.get('2') ?? 0} of 200`);
  const staleView = recordEnd(initialGateView, 'answered', load({ serviceTimeMs: 18 }), -5000);
  const stale = countChoices(
    new Map([
      ['1', view({ serviceTimeMs: 18, busy: 1 })],
      ['2', staleView],
    ]),
  );
  assert.ok((stale.get('2') ?? 0) > 50, `${stale.get('2') ?? 0} of 200`);
});

test('failing and cold gates are not chosen while others have free capacity', () => {
  // Guards against a choice that trusts health checks more than the results of calls.
  const failing = Array.from({ length: 30 }).reduce<GateView>(
    (before) => recordEnd(before, 'failed', load({}), 0),
    initialGateView,
  );
  const counts = countChoices(
    new Map([
      ['1', failing],
      ['2', view({})],
      ['3', view({})],
    ]),
  );
  assert.equal(counts.get('1'), undefined);
  const cold = countChoices(
    new Map([
      ['1', view({ isCold: true })],
      ['2', view({})],
      ['3', view({})],
    ]),
  );
  assert.equal(cold.get('1'), undefined);
});

const RULES = { repeatability: 'at-most-once', attempts: 2 } as const;

function replied(kind: 'refused' | 'failed', wasOffered = false): SendResult {
  return {
    kind: 'replied',
    outcome:
      kind === 'failed'
        ? { kind: 'failed', code: 'serverFailed' }
        : { kind: 'refused', code: 'overloaded', retryAfterMs: 0, wasOffered },
  };
}

test('a request that may have run is sent again only if it is idempotent', () => {
  // Guards against placing an order twice.
  assert.equal(decideNextStep(emptySendHistory, replied('failed'), RULES).kind, 'answer');
  assert.equal(decideNextStep(emptySendHistory, { kind: 'lost' }, RULES).kind, 'answer');
  const idempotent = { ...RULES, repeatability: 'idempotent' } as const;
  assert.equal(decideNextStep(emptySendHistory, replied('failed'), idempotent).kind, 'retry');
});

test('a request is not reported as refused after a send that may have run', () => {
  // Guards against a refusal that makes the caller send the request again.
  const idempotent = { repeatability: 'idempotent', attempts: 3 } as const;
  const first = decideNextStep(emptySendHistory, replied('failed'), idempotent);
  const second = decideNextStep(first.history, replied('refused', true), idempotent);
  const third = decideNextStep(second.history, replied('refused', true), idempotent);
  assert.equal(third.kind, 'answer');
  assert.equal(third.kind === 'answer' ? third.outcome.kind : null, 'failed');
});

test('rejections by gates use no attempt, and their number is limited', () => {
  // Guards against sending a request to every gate of an overloaded service.
  let history = emptySendHistory;
  let sends = 0;
  for (;;) {
    const next = decideNextStep(history, replied('refused'), RULES);
    history = next.history;
    sends += 1;
    if (next.kind === 'answer') break;
    assert.equal(next.kind, 'try-another');
  }
  assert.equal(sends, 3);
  assert.equal(history.offered, 0);
});
