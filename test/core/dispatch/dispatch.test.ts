import assert from 'node:assert/strict';
import { test } from 'node:test';
import { assertColdRate } from '../../../src/core/dispatch/cold-rate.js';
import { decideDispatch, createDispatchState } from '../../../src/core/dispatch/dispatch.js';
import type {
  DispatchEffect,
  DispatchMessage,
  DispatchState,
} from '../../../src/core/dispatch/dispatch-state.js';
import type { Rank } from '../../../src/core/exchange/mesh-call.js';
import { currentPressure } from '../../../src/core/shedding/smoothed-pressure.js';

const ROOT: Rank = { isNested: false, accountPriority: 0, routePriority: 2 };
const URGENT: Rank = { isNested: false, accountPriority: 0, routePriority: 0 };
const NESTED: Rank = { isNested: true, accountPriority: 0, routePriority: 2 };
const OBJECTIVE_MS = 1000;
const DEADLINE_MS = 3000;

/** A gate whose effects are recorded. */
class RecordingGate {
  readonly started: number[] = [];

  readonly refused: number[] = [];

  readonly startedAt: number[] = [];

  #state: DispatchState;

  constructor(slots: number, coldRatePerSecond = 25) {
    this.#state = createDispatchState({ slots, coldRatePerSecond });
  }

  get state(): DispatchState {
    return this.#state;
  }

  send(message: DispatchMessage, now: number): void {
    const { state, effects } = decideDispatch(this.#state, message, now);
    this.#state = state;
    effects.forEach((effect) => this.#record(effect, now));
  }

  arrive(ticket: number, rank: Rank, now: number, objectiveLeftMs = OBJECTIVE_MS): void {
    const times = { objectiveLeftMs, timeLeftMs: DEADLINE_MS };
    this.send({ kind: 'arrived', ticket, rank, ...times }, now);
  }

  #record(effect: DispatchEffect, now: number): void {
    if (effect.kind === 'violation') throw new Error(`${effect.promise}: ${effect.detail}`);
    if (effect.kind === 'refuse') {
      this.refused.push(effect.ticket);
      return;
    }
    this.started.push(effect.ticket);
    this.startedAt.push(now);
  }
}

function warmGate(slots: number): RecordingGate {
  const gate = new RecordingGate(slots);
  gate.send({ kind: 'condition', condition: { kind: 'warm' } }, 0);
  return gate;
}

test('nothing is sent before the health of the backend server is known', () => {
  // Guards against full load on a backend server that has just started.
  const gate = new RecordingGate(10);
  gate.arrive(1, ROOT, 0);
  assert.deepEqual(gate.started, []);
  gate.send({ kind: 'condition', condition: { kind: 'warm' } }, 5);
  assert.deepEqual(gate.started, [1]);
});

test('a cold backend server gets no more than its rate in any second', () => {
  // Guards against a cold start that is flooded by requests that came in the meantime.
  const gate = new RecordingGate(100, 25);
  gate.send({ kind: 'condition', condition: { kind: 'cold', until: 5000 } }, 0);
  let ticket = 0;
  for (let now = 0; now < 4000; now += 4) {
    ticket += 1;
    gate.arrive(ticket, ROOT, now);
    gate.send({ kind: 'tick' }, now);
    const done = gate.started.at(-1);
    if (done !== undefined) gate.send({ kind: 'ended', ticket: done, end: 'answered' }, now);
  }
  const most = gate.startedAt.reduce((highest, from) => {
    const within = gate.startedAt.filter((at) => at >= from && at < from + 1000).length;
    return Math.max(highest, within);
  }, 0);
  assert.ok(most <= 25, `${most} starts in one second`);
  // Guards against a cold backend server that is starved.
  assert.ok(gate.started.length >= 75, `${gate.started.length} starts in 4 s`);
});

test('waiting calls go by rank, and calls of running requests before new ones', () => {
  // Guards against work that is thrown away since its last call waits behind new requests.
  const gate = warmGate(10);
  for (let ticket = 1; ticket <= 9; ticket += 1) gate.arrive(ticket, NESTED, 0);
  gate.arrive(20, ROOT, 1);
  gate.arrive(21, URGENT, 1);
  gate.arrive(22, NESTED, 1);
  assert.deepEqual(
    gate.state.queue.map(({ ticket }) => ticket),
    [22, 21, 20],
  );
});

test('a queue that is longer than a request may wait refuses at once', () => {
  // Guards against callers that wait for a refusal.
  const gate = warmGate(2);
  for (let ticket = 1; ticket <= 50; ticket += 1) gate.arrive(ticket, ROOT, 0);
  assert.ok(gate.refused.length > 0);
  assert.ok(gate.refused.length + gate.started.length + gate.state.queue.length === 50);
  // What was queued is refused too when nothing ends in its time.
  gate.send({ kind: 'tick' }, OBJECTIVE_MS);
  assert.equal(gate.state.queue.length, 0);
});

test('a backend server that refuses connections empties the queue at once', () => {
  // Guards against requests that wait for a backend server that is gone.
  const gate = new RecordingGate(2);
  gate.arrive(1, ROOT, 0);
  gate.send({ kind: 'condition', condition: { kind: 'down' } }, 1);
  gate.arrive(2, ROOT, 2);
  assert.deepEqual(gate.refused, [1, 2]);
});

test('new requests leave room for calls of running ones, and the other way round', () => {
  // Guards against a service whose slots are all held by requests that wait for its own slots.
  const gate = warmGate(20);
  for (let ticket = 1; ticket <= 40; ticket += 1) gate.arrive(ticket, ROOT, 0);
  const roots = gate.started.length;
  gate.arrive(100, NESTED, 1);
  assert.ok(gate.started.includes(100), `${roots} roots hold all slots`);
  const other = warmGate(20);
  for (let ticket = 1; ticket <= 40; ticket += 1) other.arrive(ticket, NESTED, 0);
  other.arrive(100, ROOT, 1);
  const [first = 0] = other.started;
  other.send({ kind: 'ended', ticket: first, end: 'answered' }, 2);
  assert.ok(other.started.includes(100), 'a new request waits behind all calls');
});

test('the rate of a cold backend server is spread over the second', () => {
  // Guards against a request whose next call waits for the next second, since others have taken
  // all starts of this one.
  const gate = new RecordingGate(100, 25);
  gate.send({ kind: 'condition', condition: { kind: 'cold', until: 5000 } }, 0);
  // An objective of 3 s lets calls of running requests wait for 0.6 s.
  for (let ticket = 1; ticket <= 20; ticket += 1) gate.arrive(ticket, NESTED, 0, 3000);
  assert.equal(gate.started.length, 5);
  gate.send({ kind: 'tick' }, 205);
  assert.equal(gate.started.length, 10);
});

test('new requests keep a share of a cold rate beside calls of running ones', () => {
  // Guards against requests that need nothing else and are refused for calls of requests that
  // fail in the end.
  const gate = new RecordingGate(100, 25);
  gate.send({ kind: 'condition', condition: { kind: 'cold', until: 5000 } }, 0);
  for (let now = 0, ticket = 1; now < 1000; now += 10) {
    gate.arrive(ticket, NESTED, now);
    ticket += 1;
    if (now % 100 === 0) {
      gate.arrive(ticket, ROOT, now);
      ticket += 1;
    }
    gate.send({ kind: 'tick' }, now);
  }
  const roots = gate.started.filter((ticket) => ticket % 11 === 2);
  assert.ok(roots.length >= 7, `${roots.length} of 10 new requests started`);
  assert.ok(gate.started.length <= 25);
});

test('a backend server that sheds with most slots free is not taken for one that is full', () => {
  // Guards against entries that refuse requests since one server sheds whatever it is sent.
  const shed = (slots: number, arrivals: number): number => {
    const gate = warmGate(slots);
    Array.from({ length: arrivals }, (_, at) => at).forEach((ticket) =>
      gate.arrive(ticket, NESTED, 0),
    );
    gate.send({ kind: 'ended', ticket: 0, end: 'shed' }, 10);
    return currentPressure(gate.state.pressure, 10);
  };
  assert.equal(shed(100, 5), 0);
  assert.ok(shed(100, 80) > 0);
});

test('the assertion sees a cold backend server that gets more than it bears', () => {
  // Guards against an assertion that cannot fail.
  const starts = Array.from({ length: 26 }, (_, at) => ({ isNested: false, startedAt: at * 30 }));
  const [violation] = assertColdRate({ starts, coldRatePerSecond: 25 }, 800);
  assert.equal(violation?.promise, 'cold-start');
  assert.deepEqual(assertColdRate({ starts: starts.slice(1), coldRatePerSecond: 25 }, 800), []);
});
