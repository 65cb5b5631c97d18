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

test('admitted repeats stay within 20% of the first requests plus 10 for any requests', () => {
  // Guards against callers that prolong an overload by repeating failed requests.
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

test('an empty bucket refuses repeats but no first requests', () => {
  // Guards against refusing requests that are not repeats.
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

test('an equal request after a success is not a repeat', () => {
  // Guards against counting requests that are sent regularly as repeats.
  const failed = recordRootResult(INITIAL_CALLER_RETRIES, request('f'), false);
  const answered = recordRootResult(failed, request('f', 1), true);
  assert.equal(admitRoot(answered, request('f', 2)).isRepeat, false);
});

test('the numbers of callers and of failed requests are bounded', () => {
  // Guards against memory growing with each new caller or failed request.
  let state: CallerRetries = INITIAL_CALLER_RETRIES;
  for (let index = 0; index < 1_100; index += 1) {
    const caller = { kind: 'account', account: `a${index}` } as const;
    state = admitRoot(state, { caller, fingerprint: 'f', now: index }).state;
    state = recordRootResult(state, request(`f${index}`, index), false);
  }
  assert.ok(state.budgets.size <= 1_024);
  assert.equal(state.budgets.get('account:workshop')?.failed.size, 512);
});
