import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Instance } from '../../../src/core/directory/instance.js';
import type { GateLoad } from '../../../src/core/exchange/mesh-call.js';
import { chooseGate } from '../../../src/core/placement/choose-gate.js';
import {
  newGateView,
  recordEnd,
  recordSent,
  type GateView,
} from '../../../src/core/placement/gate-view.js';
import { nextStep, noSends, type SendResult } from '../../../src/core/placement/next-send.js';
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
    ...change,
  };
}

function view(change: Partial<GateLoad>): GateView {
  return recordEnd(newGateView, 'answered', load(change), 0);
}

function choices(views: ReadonlyMap<string, GateView>): ReadonlyMap<string, number> {
  const random = createRandom(7);
  const counts = new Map<string, number>();
  for (let round = 0; round < 200; round += 1) {
    const chosen = chooseGate({
      candidates: [instance('1', 'a'), instance('2', 'a'), instance('3', 'b')],
      views,
      zone: 'a',
      tried: new Set(),
      now: 10,
      random,
    });
    const id = chosen?.instance.id ?? 'none';
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

/** A gate that answered at an instant and got a call then that is still without a reply. */
function silentSince(now: number, sentAt: number): GateView {
  const answered = recordEnd(newGateView, 'answered', load({}), now);
  return recordSent(recordSent(answered, now), sentAt);
}

test('a gate that leaves its calls without any reply is passed over', () => {
  // Guards against a host without power that takes the calls of its service for a second.
  const others = [
    ['2', view({ busy: 9 })],
    ['3', view({ busy: 9 })],
  ] as const;
  const silent = choices(new Map([['1', silentSince(-400, 0)], ...others]));
  assert.equal(silent.get('1'), undefined);
  const lately = choices(new Map([['1', silentSince(-100, 0)], ...others]));
  assert.ok((lately.get('1') ?? 0) > 0);
});

test('a silent gate that got no call for a second is tried again', () => {
  // Guards against a gate that is never used again since a caller gave up before its reply.
  const others = [
    ['2', view({ busy: 9 })],
    ['3', view({ busy: 9 })],
  ] as const;
  const rested = choices(new Map([['1', silentSince(-1500, -1200)], ...others]));
  assert.ok((rested.get('1') ?? 0) > 0);
});

test('a reply of any call shows that a gate answers', () => {
  // Guards against gates with long calls that are passed over while they answer others.
  const waiting = recordSent(recordSent(newGateView, -900), -900);
  const answering = recordEnd(waiting, 'answered', load({}), 0);
  const counts = choices(
    new Map([
      ['1', recordSent(answering, 5)],
      ['2', view({ busy: 15 })],
      ['3', view({ busy: 15 })],
    ]),
  );
  assert.equal(counts.get('1'), 200);
});

test('gates of the own zone go first while they have room', () => {
  // Guards against bytes between zones that buy nothing.
  const counts = choices(
    new Map([
      ['1', view({})],
      ['2', view({})],
      ['3', view({})],
    ]),
  );
  assert.equal(counts.get('3'), undefined);
});

test('a full zone spills over to another', () => {
  // Guards against a zone that refuses while another one is idle.
  const counts = choices(
    new Map([
      ['1', view({ busy: 15 })],
      ['2', view({ busy: 15 })],
      ['3', view({})],
    ]),
  );
  assert.equal(counts.get('3'), 200);
});

test('slow, failing and cold gates get little', () => {
  // Guards against a choice that trusts health answers more than what calls came to.
  const failing = Array.from({ length: 30 }).reduce<GateView>(
    (before) => recordEnd(before, 'failed', load({}), 0),
    newGateView,
  );
  const counts = choices(
    new Map([
      ['1', failing],
      ['2', view({})],
      ['3', view({})],
    ]),
  );
  assert.equal(counts.get('1'), undefined);
  const cold = choices(
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

test('a request that may have run once is never sent again unless it is idempotent', () => {
  // Guards against an order that is placed twice.
  assert.equal(nextStep(noSends, replied('failed'), RULES).kind, 'answer');
  assert.equal(nextStep(noSends, { kind: 'lost' }, RULES).kind, 'answer');
  const idempotent = { ...RULES, repeatability: 'idempotent' } as const;
  assert.equal(nextStep(noSends, replied('failed'), idempotent).kind, 'repeat');
});

test('a request is never called not run after a send that may have run', () => {
  // Guards against a refusal whose caller then sends the request once more.
  const idempotent = { repeatability: 'idempotent', attempts: 3 } as const;
  const first = nextStep(noSends, replied('failed'), idempotent);
  const second = nextStep(first.history, replied('refused', true), idempotent);
  const third = nextStep(second.history, replied('refused', true), idempotent);
  assert.equal(third.kind, 'answer');
  assert.equal(third.kind === 'answer' ? third.outcome.kind : null, 'failed');
});

test('gates that turn a request away cost no attempt, but only so many are asked', () => {
  // Guards against a request that wanders through all gates of an overloaded service.
  let history = noSends;
  let asked = 0;
  for (;;) {
    const next = nextStep(history, replied('refused'), RULES);
    history = next.history;
    asked += 1;
    if (next.kind === 'answer') break;
    assert.equal(next.kind, 'try-another');
  }
  assert.equal(asked, 3);
  assert.equal(history.offered, 0);
});
