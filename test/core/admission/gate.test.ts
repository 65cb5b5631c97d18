import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type {
  DispatchEnd,
  GateEffect,
  GateMessage,
} from '../../../src/core/admission/gate-message.js';
import {
  admitFraction,
  gateLoad,
  startGate,
  type Gate,
} from '../../../src/core/admission/gate-state.js';
import { decideGate } from '../../../src/core/admission/gate.js';
import type { Call } from '../../../src/core/model/call.js';
import { IMPORTANCES } from '../../../src/core/model/configuration.js';
import type { GateState } from '../../../src/core/model/load.js';
import { backendServer, call } from './fixtures.js';

const SERVED: DispatchEnd = {
  kind: 'answered',
  outcome: { kind: 'answered', status: 200, headers: [], body: new Uint8Array() },
};
const SHED: DispatchEnd = { kind: 'not-run', code: 'serverShed' };
const LOST: DispatchEnd = { kind: 'failed', code: 'serverFailed' };

/** Sends messages to a gate and checks its effects with a simple model of the calls. */
class Observer {
  state: Gate;

  now = 0;

  slots: number;

  gateState: GateState = 'serving';

  readonly waiting = new Map<string, Call>();

  readonly running = new Map<string, Call>();

  readonly answered = new Map<string, GateEffect>();

  readonly aborted = new Set<string>();

  constructor(slots: number, coldCapacity: number) {
    this.slots = slots;
    this.state = startGate({
      backendServer: backendServer(slots, coldCapacity),
      state: 'serving',
      now: 0,
    });
  }

  send(message: GateMessage): readonly GateEffect[] {
    if (message.kind === 'arrived') this.waiting.set(message.call.requestId, message.call);
    if (message.kind === 'configured') this.slots = message.backendServer.slots;
    if (message.kind === 'state-changed') this.gateState = message.state;
    const { state, effects } = decideGate(this.state, message, this.now);
    this.state = state;
    effects.forEach((effect) => this.check(effect, message));
    assert.equal(gateLoad(state).running, this.running.size);
    assert.equal(gateLoad(state).queued, this.waiting.size);
    return effects;
  }

  private check(effect: GateEffect, message: GateMessage): void {
    switch (effect.kind) {
      case 'violation':
        return assert.fail(`${effect.promise}: ${effect.detail}`);
      case 'abort':
        assert.equal(this.running.get(effect.requestId)?.idempotent, true);
        assert.ok(!this.aborted.has(effect.requestId), 'aborted twice');
        this.aborted.add(effect.requestId);
        return undefined;
      case 'dispatch': {
        const { requestId, deadline, startBy } = effect.call;
        assert.ok(this.waiting.delete(requestId), 'dispatched without being queued');
        assert.ok(deadline > this.now && startBy >= this.now, 'dispatched too late');
        if (message.kind === 'arrived' && message.call.requestId === requestId) {
          assert.equal(this.gateState, 'serving');
        }
        this.running.set(requestId, effect.call);
        assert.ok(this.running.size <= this.slots, 'more calls than slots');
        return undefined;
      }
      case 'answer':
        return this.checkAnswer(effect, message);
    }
  }

  private checkAnswer(effect: GateEffect & { kind: 'answer' }, message: GateMessage): void {
    const { requestId, outcome } = effect;
    assert.ok(!this.answered.has(requestId), 'answered twice');
    this.answered.set(requestId, effect);
    if (this.running.delete(requestId)) {
      assert.ok(message.kind === 'ended' && message.requestId === requestId);
      assert.equal(outcome.kind === 'refused', message.end.kind === 'not-run');
      return;
    }
    const refused = this.waiting.get(requestId);
    assert.ok(refused !== undefined && outcome.kind === 'refused');
    this.waiting.delete(requestId);
    if (outcome.code !== 'overloaded') return;
    const rank = IMPORTANCES.indexOf(refused.importance);
    this.waiting.forEach(({ importance }) =>
      assert.ok(IMPORTANCES.indexOf(importance) <= rank, 'a less important call is still queued'),
    );
  }
}

/** One random message; `pick` selects one of the known calls. */
const randomStep = fc.record({
  wait: fc.nat(60),
  pick: fc.nat(1_000),
  end: fc.constantFrom(SERVED, SERVED, SERVED, SHED, LOST),
  kind: fc.oneof(
    { weight: 12, arbitrary: fc.constant('arrive' as const) },
    { weight: 8, arbitrary: fc.constant('end' as const) },
    { weight: 3, arbitrary: fc.constantFrom('tick' as const, 'cancel' as const) },
    {
      weight: 1,
      arbitrary: fc.constantFrom('cold' as const, 'health' as const, 'state' as const),
    },
    { weight: 1, arbitrary: fc.constantFrom('configure' as const, 'weights' as const) },
  ),
  importance: fc.constantFrom(...IMPORTANCES),
  account: fc.constantFrom('a', 'b', 'c'),
  depth: fc.constantFrom(0, 0, 0, 1),
  idempotent: fc.boolean(),
  rootHash: fc.double({ min: 0, max: 0.999, noNaN: true }),
  deadlineMs: fc.integer({ min: -5, max: 400 }),
  gateState: fc.constantFrom<GateState>('serving', 'serving', 'leaving', 'zone-out'),
  slots: fc.integer({ min: 1, max: 6 }),
});
type RandomStep = typeof randomStep extends fc.Arbitrary<infer T> ? T : never;

function messageOf(step: RandomStep, observer: Observer, index: number): GateMessage {
  const known = [...observer.waiting.keys(), ...observer.running.keys()];
  const running = [...observer.running.keys()];
  switch (step.kind) {
    case 'arrive': {
      const { importance, account, depth, idempotent, rootHash, deadlineMs } = step;
      const deadline = observer.now + deadlineMs;
      const base = { requestId: `r${index}`, importance, account, depth, idempotent };
      return { kind: 'arrived', call: call({ ...base, rootHash, deadline }) };
    }
    case 'end': {
      const requestId = running[step.pick % Math.max(1, running.length)] ?? 'unknown';
      return { kind: 'ended', requestId, end: step.end, ownLatencyMs: step.wait };
    }
    case 'cancel': {
      const requestId = known[step.pick % Math.max(1, known.length)] ?? 'unknown';
      return { kind: 'cancelled', requestId };
    }
    case 'tick':
      return { kind: 'tick' };
    case 'cold':
      return { kind: 'restart-suspected', signal: 'connection-refused' };
    case 'health':
      return { kind: 'health', limitHint: step.pick % 5 };
    case 'state':
      return { kind: 'state-changed', state: step.gateState };
    case 'configure':
      return { kind: 'configured', backendServer: backendServer(step.slots, 1) };
    case 'weights':
      return { kind: 'weights-configured', weights: new Map([['a', (step.pick % 4) + 1]]) };
  }
}

test('random messages: each call gets one answer; slots and shedding order are respected', () => {
  // Guards against lost and duplicate answers, false "not run" results, more running calls than
  // slots, and shedding an important call before a less important one.
  fc.assert(
    fc.property(
      fc.array(randomStep, { maxLength: 250 }),
      fc.integer({ min: 1, max: 6 }),
      (steps, slots) => {
        const observer = new Observer(slots, 1);
        let arrivals = 0;
        steps.forEach((step, index) => {
          observer.now += step.kind === 'arrive' ? step.wait % 4 : step.wait;
          arrivals += step.kind === 'arrive' ? 1 : 0;
          observer.send(messageOf(step, observer, index));
        });
        for (let round = 0; observer.waiting.size + observer.running.size > 0; round += 1) {
          assert.ok(round < 1_000, 'calls are stuck');
          observer.now += 10;
          [...observer.running.keys()].forEach((requestId) =>
            observer.send({ kind: 'ended', requestId, end: SERVED, ownLatencyMs: 10 }),
          );
          observer.send({ kind: 'tick' });
        }
        assert.equal(observer.answered.size, arrivals);
      },
    ),
    { seed: 20_261_204, numRuns: 300 },
  );
});

/** Builds a gate whose only slot is in use. */
function busyGate(): Observer {
  const observer = new Observer(1, 1);
  observer.send({ kind: 'arrived', call: call({ requestId: 'busy' }) });
  return observer;
}

function arrive(observer: Observer, fields: Parameters<typeof call>[0]): readonly GateEffect[] {
  return observer.send({ kind: 'arrived', call: call(fields) });
}

function end(observer: Observer, requestId: string): readonly GateEffect[] {
  return observer.send({ kind: 'ended', requestId, end: SERVED, ownLatencyMs: 10 });
}

function dispatched(effects: readonly GateEffect[]): readonly string[] {
  return effects.flatMap((effect) => (effect.kind === 'dispatch' ? [effect.call.requestId] : []));
}

test('calls are dispatched by importance, started roots first, least service, arrival', () => {
  // Guards against dispatch in the order of arrival only.
  const observer = busyGate();
  arrive(observer, { requestId: 'low', importance: 'low' });
  arrive(observer, { requestId: 'a1', account: 'a' });
  arrive(observer, { requestId: 'a2', account: 'a' });
  arrive(observer, { requestId: 'b1', account: 'b' });
  arrive(observer, { requestId: 'started', account: 'a', depth: 1 });
  arrive(observer, { requestId: 'critical', importance: 'critical' });
  const order: string[] = [];
  for (let next = 'busy'; next !== '';) {
    next = dispatched(end(observer, next))[0] ?? '';
    order.push(next);
  }
  assert.deepEqual(order, ['critical', 'started', 'b1', 'a1', 'a2', 'low', '']);
});

test('dispatches are divided among accounts in proportion to their weights', () => {
  // Guards against equal shares for accounts with different weights.
  const observer = busyGate();
  observer.send({ kind: 'weights-configured', weights: new Map([['a', 3]]) });
  for (let index = 0; index < 8; index += 1) {
    arrive(observer, { requestId: `a${index}`, account: 'a' });
    arrive(observer, { requestId: `b${index}`, account: 'b' });
  }
  const order: string[] = [];
  for (let next = 'busy'; order.length < 8;) {
    next = dispatched(end(observer, next))[0] ?? '';
    order.push(next);
  }
  assert.equal(order.filter((requestId) => requestId.startsWith('a')).length, 6);
});

test('a full queue evicts a call of the account with the most queued calls', () => {
  // Guards against an account that fills the queue and so blocks the calls of the others.
  const observer = busyGate();
  for (let index = 0; index < 16; index += 1) {
    arrive(observer, { requestId: `hog${index}`, account: 'hog' });
  }
  const effects = arrive(observer, { requestId: 'fair', account: 'fair' });
  assert.deepEqual(
    effects.map((effect) => effect.kind === 'answer' && effect.requestId),
    ['hog15'],
  );
});

test('a call that cannot start or end in time is refused', () => {
  // Guards against slots that are used for answers after the deadline of the caller.
  const observer = busyGate();
  const codes = (effects: readonly GateEffect[]): readonly unknown[] =>
    effects.map((e) => e.kind === 'answer' && e.outcome.kind === 'refused' && e.outcome.code);
  observer.now = 50;
  assert.deepEqual(codes(arrive(observer, { requestId: 'late', deadline: 50 })), [
    'deadlineUnreachable',
  ]);
  arrive(observer, { requestId: 'start', startBy: 80 });
  observer.now = 90;
  assert.deepEqual(codes(end(observer, 'busy').slice(1)), ['deadlineUnreachable']);
});

test('a leaving gate still dispatches queued calls and refuses new ones', () => {
  // Guards against dropped queued calls, and against new calls for a server that is leaving.
  const observer = busyGate();
  arrive(observer, { requestId: 'queued' });
  observer.send({ kind: 'state-changed', state: 'leaving' });
  const [refusal] = arrive(observer, { requestId: 'new' });
  assert.ok(refusal?.kind === 'answer' && refusal.outcome.kind === 'refused');
  assert.equal(refusal.outcome.code, 'nodeLeaving');
  assert.deepEqual(dispatched(end(observer, 'busy')), ['queued']);
});

test('an aborted call holds its slot until it has ended', () => {
  // Guards against more running calls than slots after many cancellations at once.
  const observer = busyGate();
  arrive(observer, { requestId: 'next' });
  assert.deepEqual(observer.send({ kind: 'cancelled', requestId: 'busy' }), [
    { kind: 'abort', requestId: 'busy' },
  ]);
  assert.equal(gateLoad(observer.state).running, 1);
  assert.deepEqual(dispatched(end(observer, 'busy')), ['next']);
});

test('the assertions report a broken promise', () => {
  // Guards against assertions that can never fail.
  const observer = busyGate();
  arrive(observer, { requestId: 'queued', importance: 'low' });
  const violations = (state: Gate, message: GateMessage): readonly unknown[] =>
    decideGate(state, message, 0).effects.flatMap((e) => (e.kind === 'violation' ? e.promise : []));
  const { state } = observer;
  const refusedAnswer: DispatchEnd = {
    kind: 'answered',
    outcome: { kind: 'refused', code: 'serverShed', retryAfterMs: 0 },
  };
  const ended = { kind: 'ended', requestId: 'busy', end: refusedAnswer, ownLatencyMs: 1 } as const;
  assert.deepEqual(violations(state, ended), ['not-run']);
  const queued = state.queue.callsById.map((entry) => ({
    ...entry,
    stateAtArrival: 'leaving' as const,
  }));
  const late = { ...state.queue, callsById: queued };
  const lanes = state.queue.lanes.map((lane) =>
    lane.map((calls) => calls.map((entry) => ({ ...entry, stateAtArrival: 'leaving' as const }))),
  );
  assert.deepEqual(violations({ ...state, queue: { ...late, lanes } }, { ...ended, end: SERVED }), [
    'leaving',
  ]);
});

test('a gate without queued calls admits all roots', () => {
  // Guards against refusals without overload.
  const { state } = new Observer(4, 2);
  assert.equal(admitFraction(state, 'low', { kind: 'anonymous' }), 1);
});

test('a gate that accepts calls again treats its backend server as cold', () => {
  // Guards against full load on a backend server that restarted while its zone was out.
  const observer = new Observer(10, 2);
  for (let round = 0; round < 200; round += 1) {
    observer.now += 10;
    const requestId = `warm-${round}`;
    observer.send({ kind: 'arrived', call: call({ requestId }) });
    observer.send({ kind: 'ended', requestId, end: SERVED, ownLatencyMs: 5 });
  }
  assert.equal(gateLoad(observer.state).limit, 10);
  observer.send({ kind: 'state-changed', state: 'zone-out' });
  observer.send({ kind: 'state-changed', state: 'serving' });
  assert.equal(gateLoad(observer.state).limit, 2);
});
