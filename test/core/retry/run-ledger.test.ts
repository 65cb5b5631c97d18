import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decideRuns, INITIAL_RUNS } from '../../../src/core/retry/run-ledger.js';
import type { RunEffect, RunMessage, RunReport } from '../../../src/core/retry/run-message.js';
import type { Feedback } from '../../../src/core/model/call.js';

/** A ledger with one running call `p`. */
class Ledger {
  now = 0;

  #state = INITIAL_RUNS;

  constructor(retries: number, depth = 0) {
    const caller = { kind: 'anonymous' } as const;
    const root = { requestId: 'p', rootId: 'p', rootHash: 0.5, caller, depth, retries };
    this.send({ kind: 'run-started', importance: 'high', deadline: 10_000, ...root });
  }

  send(message: RunMessage): readonly RunEffect[] {
    const { state, effects } = decideRuns(this.#state, message, this.now);
    this.#state = state;
    return effects;
  }

  /** Starts a nested call and returns its retries, or the code of its refusal. */
  child(childId: string, fingerprint = childId, parentId = 'p'): number | string {
    const effect = this.send({ kind: 'child-started', parentId, childId, fingerprint })[0];
    if (effect?.kind === 'child-permitted') return effect.inheritance.retries;
    return effect?.kind === 'child-refused' ? effect.code : 'none';
  }

  childEnded(
    childId: string,
    retriesSpent: number | null,
    isSuccess = false,
    feedback: readonly Feedback[] = [],
  ): readonly RunEffect[] {
    const end = { childId, retriesSpent, isSuccess, feedback };
    return this.send({ kind: 'child-ended', parentId: 'p', ...end });
  }

  end(): RunReport {
    const effect = this.send({ kind: 'run-ended', requestId: 'p' }).at(-1);
    assert.ok(effect?.kind === 'run-reported');
    return effect.report;
  }
}

test('retries of a lost answer count as spent, and unspent retries are returned', () => {
  // Guards against using retries twice after a lost answer, and losing them after an answer.
  const ledger = new Ledger(4);
  assert.equal(ledger.child('a'), 2);
  ledger.childEnded('a', null);
  assert.equal(ledger.child('b'), 1);
  ledger.childEnded('b', 0, true);
  assert.equal(ledger.child('c'), 1);
  ledger.childEnded('c', 1, true);
  assert.equal(ledger.end().retriesSpent, 3);
});

test('a repeat after a failure costs a retry and is refused without one', () => {
  // Guards against retry amplification by retry loops in backend servers.
  const ledger = new Ledger(1);
  ledger.child('a', 'same');
  ledger.childEnded('a', 0);
  assert.equal(ledger.child('b', 'same'), 0);
  ledger.childEnded('b', 0);
  assert.equal(ledger.child('c', 'same'), 'retryBudgetSpent');
  assert.equal(ledger.child('d', 'other'), 0);
});

test('calls with an unknown parent, after the deadline or above the depth limit are refused', () => {
  // Guards against forged or expired contexts and against cycles in the call graph.
  assert.equal(new Ledger(1).child('a', 'a', 'unknown'), 'contextInvalid');
  assert.equal(new Ledger(1, 16).child('a'), 'contextInvalid');
  const late = new Ledger(1);
  late.now = 10_000;
  assert.equal(late.child('a'), 'deadlineUnreachable');
});

test('own latency excludes the time of nested calls, and overlapping time only once', () => {
  // Guards against a concurrency limit that falls because a downstream service is slow.
  const ledger = new Ledger(0);
  const at = (now: number, action: () => unknown): void => {
    ledger.now = now;
    action();
  };
  at(10, () => ledger.child('a'));
  at(20, () => ledger.child('b'));
  at(30, () => ledger.childEnded('a', 0, true));
  at(50, () => ledger.childEnded('b', 0, true));
  ledger.now = 55;
  assert.equal(ledger.end().ownLatencyMs, 15);
});

test('the lowest fraction of each service is reported, at most eight services', () => {
  // Guards against answers that grow with the call graph or omit the most loaded service.
  const ledger = new Ledger(0);
  for (let index = 0; index < 12; index += 1) {
    ledger.child(`c${index}`);
    const admitFraction = 1 - index / 16;
    ledger.childEnded(`c${index}`, 0, true, [
      { service: `s${index}`, admitFraction },
      { service: 'shared', admitFraction: admitFraction / 2 },
    ]);
  }
  const { feedback } = ledger.end();
  assert.equal(feedback.length, 8);
  assert.equal(feedback.find(({ service }) => service === 'shared')?.admitFraction, 0.15625);
  assert.ok(feedback.some(({ service }) => service === 's11'));
});

test('the end of a run cancels its nested calls and counts their reserved retries', () => {
  // Guards against work without a receiver and against outstanding calls exceeding the budget.
  const ledger = new Ledger(2);
  ledger.child('a');
  const effects = ledger.send({ kind: 'run-ended', requestId: 'p' });
  assert.deepEqual(effects[0], { kind: 'cancel-child', childId: 'a' });
  assert.ok(effects[1]?.kind === 'run-reported' && effects[1].report.retriesSpent === 1);
});

test('a nested call that used more retries than reserved violates the retry bound', () => {
  // Guards against an assertion that can never fail.
  const ledger = new Ledger(2);
  ledger.child('a');
  const [violation] = ledger.childEnded('a', 5);
  assert.ok(violation?.kind === 'violation' && violation.promise === 'retry-bound');
});

test('reserved and used retries never exceed the budget in any order of nested calls', () => {
  // Guards against parallel nested calls that together get more retries than their parent has.
  const item = fc.record({
    isEnd: fc.boolean(),
    pick: fc.nat(20),
    spend: fc.option(fc.double({ min: 0, max: 1, noNaN: true })),
    fingerprint: fc.constantFrom('x', 'y'),
    isSuccess: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(item, { maxLength: 60 }), fc.nat(8), (items, retries) => {
      const ledger = new Ledger(retries);
      const open = new Map<string, { granted: number; fingerprint: string }>();
      const failed = new Set<string>();
      let used = 0;
      items.forEach(({ isEnd, pick, spend, fingerprint, isSuccess }, index) => {
        const childId = [...open.keys()][pick % Math.max(1, open.size)];
        const child = childId === undefined ? undefined : open.get(childId);
        if (isEnd && childId !== undefined && child !== undefined) {
          const spent = spend === null ? null : Math.floor(child.granted * spend);
          used += spent ?? child.granted;
          if (!isSuccess) failed.add(child.fingerprint);
          open.delete(childId);
          assert.deepEqual(ledger.childEnded(childId, spent, isSuccess), []);
        } else if (!isEnd) {
          const granted = ledger.child(`c${index}`, fingerprint);
          if (typeof granted !== 'number') return;
          used += failed.has(fingerprint) ? 1 : 0;
          open.set(`c${index}`, { granted, fingerprint });
        }
        const held = [...open.values()].reduce((sum, { granted }) => sum + granted, 0);
        assert.ok(used + held <= retries, `${used} used and ${held} reserved of ${retries}`);
      });
      assert.ok(ledger.end().retriesSpent <= retries);
    }),
    { seed: 20_261_204, numRuns: 1_000 },
  );
});
