import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  admitRoot,
  INITIAL_CALLER_RETRIES,
  recordRootResult,
  type CallerRetries,
} from '../../../src/core/retry/caller-retry.js';

const CALLER = { kind: 'account', account: 'workshop' } as const;

function request(fingerprint: string, now = 0): Parameters<typeof admitRoot>[1] {
  return { caller: CALLER, fingerprint, now };
}

test('any requests: admitted repeats stay within 20% of the first requests plus 10', () => {
  // Guards against callers that keep an overload alive by repeating failed requests.
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(30), fc.boolean()), { minLength: 50, maxLength: 400 }),
      (items) => {
        let state: CallerRetries = INITIAL_CALLER_RETRIES;
        let first = 0;
        let repeats = 0;
        items.forEach(([id, succeeds], now) => {
          const verdict = admitRoot(state, request(`f${id}`, now));
          state = verdict.state;
          if (!verdict.isAdmitted) return;
          if (verdict.isRepeat) repeats += 1;
          else first += 1;
          state = recordRootResult(state, request(`f${id}`, now), succeeds);
        });
        assert.ok(repeats <= 0.2 * first + 10 + 1e-9, `${repeats} repeats, ${first} first`);
      },
    ),
    { seed: 20_261_204, numRuns: 500 },
  );
});

test('a repeat is refused when the bucket is empty, first requests are not', () => {
  // Guards against refusing work that is no repeat.
  let state = recordRootResult(INITIAL_CALLER_RETRIES, request('f'), false);
  for (let index = 0; index < 10; index += 1) {
    const verdict = admitRoot(state, request('f'));
    assert.ok(verdict.isAdmitted && verdict.isRepeat);
    state = verdict.state;
  }
  assert.equal(admitRoot(state, request('f')).isAdmitted, false);
  assert.equal(admitRoot(state, request('g')).isAdmitted, true);
  assert.equal(
    admitRoot(state, { ...request('f'), caller: { kind: 'anonymous' } }).isAdmitted,
    true,
  );
  assert.equal(admitRoot(state, request('f', 30_001)).isRepeat, false);
});

test('an equal request after a success is no repeat', () => {
  // Guards against counting lookups that are sent regularly.
  const failed = recordRootResult(INITIAL_CALLER_RETRIES, request('f'), false);
  const answered = recordRootResult(failed, request('f', 1), true);
  assert.equal(admitRoot(answered, request('f', 2)).isRepeat, false);
});

test('the memory is bounded by callers and by failed requests', () => {
  // Guards against growth with every distinct failed request.
  let state: CallerRetries = INITIAL_CALLER_RETRIES;
  for (let index = 0; index < 1_100; index += 1) {
    const caller = { kind: 'account', account: `a${index}` } as const;
    state = admitRoot(state, { caller, fingerprint: 'f', now: index }).state;
    state = recordRootResult(state, request(`f${index}`, index), false);
  }
  assert.ok(state.budgets.size <= 1_024);
  assert.equal(state.budgets.get('account:workshop')?.failed.size, 512);
});
