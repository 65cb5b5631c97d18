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

test('a call above the slots and the accept queue is shed as not run', () => {
  // Guards against an unbounded accept queue, with which the stand-in would never shed a call.
  const { effects } = replay(initialWork(settings), arrivals(10));
  assert.deepEqual(effects, [{ kind: 'shed', id: 9, isQueueFull: true }]);
});

test('a draining server sheds calls without the not-run header', () => {
  // Guards against the not-run header on a plain 503, which would make a repetition look safe.
  const drain = { kind: 'control', control: { kind: 'drain', enabled: true } } as const;
  const { effects } = replay(initialWork(settings), [drain, ...arrivals(1)]);
  assert.deepEqual(effects, [{ kind: 'shed', id: 0, isQueueFull: false }]);
});

test('a cold server above its capacity slows down, and exits if configured so', () => {
  // Guards against cold starts that have no effect on the results of the benchmark.
  assert.deepEqual(replay(initialWork(settings), arrivals(3)).effects, [
    { kind: 'run', id: 2, slowdown: 10 },
  ]);
  const fragile = initialWork({ ...settings, exitsWhenOverrun: true });
  assert.deepEqual(replay(fragile, arrivals(5)).effects, [{ kind: 'exit' }]);
});

test('finished calls raise the capacity of a server up to its slots', () => {
  // Guards against a server that stays cold, which would lower all later benchmark results.
  const finishedCalls = Array.from(
    { length: 100 },
    () => ({ kind: 'finish', id: 0, workedMs: 1000 }) as const,
  );
  assert.equal(replay(initialWork(settings), finishedCalls).state.capacity, 8);
});

test('a queued call starts when a running call is abandoned', () => {
  // Guards against slots that stay in use after their caller has disconnected.
  const abandon = { kind: 'abandon', id: 0 } as const;
  const { effects } = replay(initialWork(settings), [...arrivals(9), abandon]);
  assert.equal(effects[0]?.kind === 'run' && effects[0].id, 8);
});

test('a request with a crash body ends the process only when enabled', () => {
  // Guards against a crash scenario without a crash, and against crashes in other scenarios.
  const crash = { kind: 'arrive', id: 1, hasCrashBody: true } as const;
  const enable = { kind: 'control', control: { kind: 'crash-on-request', enabled: true } } as const;
  assert.equal(replay(initialWork(settings), [crash]).effects[0]?.kind, 'run');
  assert.equal(replay(initialWork(settings), [enable, crash]).effects[0]?.kind, 'exit');
});
