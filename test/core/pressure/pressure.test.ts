import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  admitFractionFor,
  INITIAL_BACKPRESSURE,
  pruneBackpressure,
  recordFeedback,
  type Backpressure,
} from '../../../src/core/pressure/pressure.js';

const CALLER = { kind: 'account', account: 'workshop' } as const;

function withFeedback(
  state: Backpressure,
  now: number,
  feedback: Readonly<Record<string, number>>,
): Backpressure {
  return recordFeedback(state, {
    route: 'lookup',
    caller: CALLER,
    feedback: Object.entries(feedback).map(([service, admitFraction]) => ({
      service,
      admitFraction,
    })),
    now,
  });
}

test('the lowest fraction over the services applies, to this route and caller only', () => {
  // Guards against admitting roots that a nested service refuses, and against refusals for other
  // routes and callers.
  const state = withFeedback(INITIAL_BACKPRESSURE, 0, { stockroom: 0.8, dispatch: 0.3 });
  assert.equal(admitFractionFor(state, 'lookup', CALLER, 100), 0.3);
  assert.equal(admitFractionFor(state, 'other', CALLER, 100), 1);
  assert.equal(admitFractionFor(state, 'lookup', { kind: 'anonymous' }, 100), 1);
  const relieved = withFeedback(state, 100, { dispatch: 1 });
  assert.equal(admitFractionFor(relieved, 'lookup', CALLER, 150), 0.8);
});

test('without feedback a fraction grows by a factor of 1.1 every 200 ms, also from 0', () => {
  // Guards against a route that stays blocked because no root is sent that could carry feedback.
  const state = withFeedback(INITIAL_BACKPRESSURE, 0, { stockroom: 0.5 });
  assert.equal(admitFractionFor(state, 'lookup', CALLER, 199), 0.5);
  assert.ok(Math.abs(admitFractionFor(state, 'lookup', CALLER, 400) - 0.5 * 1.1 ** 2) < 1e-9);
  const shut = withFeedback(INITIAL_BACKPRESSURE, 0, { stockroom: 0 });
  assert.equal(admitFractionFor(shut, 'lookup', CALLER, 0), 0);
  assert.ok(admitFractionFor(shut, 'lookup', CALLER, 200) > 0);
  assert.equal(admitFractionFor(shut, 'lookup', CALLER, 7_000), 1);
});

test('the stored pairs and services are bounded, and pruning drops expired ones', () => {
  // Guards against memory growth with the number of routes, callers and services.
  let state = INITIAL_BACKPRESSURE;
  for (let index = 0; index < 5_000; index += 1) {
    const caller = { kind: 'account', account: `a${index}` } as const;
    const feedback = [{ service: 's', admitFraction: 0.5 }];
    state = recordFeedback(state, { route: 'r', caller, feedback, now: index });
  }
  assert.equal(state.pairs.size, 4_096);
  assert.equal(admitFractionFor(state, 'r', { kind: 'account', account: 'a4999' }, 5_000), 0.5);
  assert.equal(pruneBackpressure(state, 20_000).pairs.size, 0);
  const services = Object.fromEntries(
    Array.from({ length: 20 }, (_, i) => [`s${i}`, 0.9 - i / 50]),
  );
  assert.equal(withFeedback(INITIAL_BACKPRESSURE, 0, services).pairs.first()?.size, 8);
});

test('random feedback: the fraction stays in [0, 1] and never falls without feedback', () => {
  // Guards against fractions outside the range after malformed feedback.
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(500), fc.constantFrom('x', 'y', 'z'), fc.double({ noNaN: true }))),
      (items) => {
        let now = 0;
        let state = INITIAL_BACKPRESSURE;
        items.forEach(([wait, service, fraction]) => {
          const before = admitFractionFor(state, 'lookup', CALLER, now);
          now += wait;
          const grown = admitFractionFor(state, 'lookup', CALLER, now);
          assert.ok(grown >= before && grown >= 0 && grown <= 1);
          state = withFeedback(state, now, { [service]: fraction });
        });
      },
    ),
    { seed: 20_261_204, numRuns: 300 },
  );
});
