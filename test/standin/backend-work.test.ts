import assert from 'node:assert/strict';
import { test } from 'node:test';
import { initialWork, decideWork } from '../../standin/backend-work.js';
import type { Work, WorkMessage } from '../../standin/backend-work.js';

const settings = {
  slots: 8,
  coldCapacity: 1,
  warmUpMs: 1000,
  acceptQueue: 1,
  exitsWhenOverrun: false,
};

function replay(work: Work, messages: readonly WorkMessage[]) {
  return messages.reduce(({ state }, message) => decideWork(state, message), {
    state: work,
    effects: [],
  } as ReturnType<typeof decideWork>);
}

function arrivals(count: number): readonly WorkMessage[] {
  return Array.from({ length: count }, (_, id) => ({ kind: 'arrive', id, hasCrashBody: false }));
}

test('a call beyond the slots and the accept queue is shed as not run', () => {
  // Guards against a stand-in that queues without bound and never sheds.
  const { effects } = replay(initialWork(settings), arrivals(10));
  assert.deepEqual(effects, [{ kind: 'shed', id: 9, isQueueFull: true }]);
});

test('a draining server sheds without the not-run mark', () => {
  // Guards against a stand-in that makes a plain 503 look safe to repeat.
  const drain = { kind: 'control', control: { kind: 'drain', enabled: true } } as const;
  const { effects } = replay(initialWork(settings), [drain, ...arrivals(1)]);
  assert.deepEqual(effects, [{ kind: 'shed', id: 0, isQueueFull: false }]);
});

test('an overrun cold server becomes very slow, and exits when it is set to', () => {
  // Guards against a cold start that costs the benchmark nothing.
  assert.deepEqual(replay(initialWork(settings), arrivals(3)).effects, [
    { kind: 'run', id: 2, slowdown: 10 },
  ]);
  const fragile = initialWork({ ...settings, exitsWhenOverrun: true });
  assert.deepEqual(replay(fragile, arrivals(5)).effects, [{ kind: 'exit' }]);
});

test('work warms a server up to its slots', () => {
  // Guards against a server that stays cold, which would lower every later figure.
  const finishedCalls = Array.from(
    { length: 100 },
    () => ({ kind: 'finish', id: 0, workedMs: 1000 }) as const,
  );
  assert.equal(replay(initialWork(settings), finishedCalls).state.capacity, 8);
});

test('a waiting call starts when a running call is abandoned', () => {
  // Guards against slots that leak when callers disconnect.
  const abandon = { kind: 'abandon', id: 0 } as const;
  const { effects } = replay(initialWork(settings), [...arrivals(9), abandon]);
  assert.equal(effects[0]?.kind === 'run' && effects[0].id, 8);
});

test('a request with a crash body ends the process only when enabled', () => {
  // Guards against a crash scenario that crashes nothing, or every scenario.
  const crash = { kind: 'arrive', id: 1, hasCrashBody: true } as const;
  const enable = { kind: 'control', control: { kind: 'crash-on-request', enabled: true } } as const;
  assert.equal(replay(initialWork(settings), [crash]).effects[0]?.kind, 'run');
  assert.equal(replay(initialWork(settings), [enable, crash]).effects[0]?.kind, 'exit');
});
