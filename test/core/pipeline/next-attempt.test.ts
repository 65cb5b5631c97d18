import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Outcome } from '../../../src/core/model/call.js';
import { decideNextAttempt } from '../../../src/core/pipeline/next-attempt.js';
import { call } from '../admission/fixtures.js';

const refused: Outcome = { kind: 'refused', code: 'noBackendServer', retryAfterMs: 0 };
const lost: Outcome = { kind: 'failed', code: 'linkLost' };

// Guards against reporting "not run" for a call that ran at a gate whose link was lost, when the
// retry then finds no other gate (found by a random run, seed 1).
test('a refusal after a send that may have run is not the outcome of the call', () => {
  const review = {
    call: call({}),
    backendServer: 'one',
    now: 0,
    number: 1,
    earlier: null,
  } as const;
  const next = decideNextAttempt({
    ...review,
    attempt: { kind: 'lost', code: 'linkLost' },
    retriesLeft: 1,
  });
  assert.deepEqual(next, { kind: 'retry', excluded: 'one', outcome: lost });
  const last = decideNextAttempt({
    ...review,
    earlier: lost,
    attempt: { kind: 'unsent' },
    retriesLeft: 0,
  });
  assert.deepEqual(last, { kind: 'finish', outcome: lost });
});

// Guards against reporting a failure for a call that no gate accepted and that did not run.
test('a call with only refused sends is refused', () => {
  const attempt = { kind: 'unsent' } as const;
  const review = {
    call: call({}),
    backendServer: 'one',
    now: 0,
    number: 1,
    earlier: null,
    attempt,
  };
  const next = decideNextAttempt({ ...review, retriesLeft: 1 });
  assert.deepEqual(next, { kind: 'retry', excluded: 'one', outcome: refused });
  assert.deepEqual(decideNextAttempt({ ...review, retriesLeft: 0 }), {
    kind: 'finish',
    outcome: refused,
  });
});
