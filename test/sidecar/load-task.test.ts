import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RankedAttempt } from '../../src/core/exchange/admission-pipeline.js';
import { LoadTask } from '../../src/sidecar/load-task.js';

const ATTEMPT: RankedAttempt = {
  route: {
    name: 'balance',
    host: 'shop.example',
    prefix: '/balance/',
    repeatability: 'idempotent',
    timeoutMs: 6000,
    latencyObjectiveMs: 1500,
    priority: 2,
    destinations: [{ service: 'app', weight: 1 }],
    attempts: 2,
    access: 'open',
  },
  rank: { isNested: false, accountPriority: 0, routePriority: 2 },
  fingerprint: 'balance',
  arrivedAt: 0,
  callerTimeoutMs: 6000,
};

class FakeClock {
  #now = 1000;

  /** @returns the current instant */
  now(): number {
    return this.#now;
  }

  advance(byMs: number): void {
    this.#now += byMs;
  }
}

/** A node whose route `balance` is reported to be under full pressure. */
function openOverloaded(): { readonly clock: FakeClock; readonly task: LoadTask } {
  const clock = new FakeClock();
  const task = new LoadTask({ clock, random: () => 0.5 });
  const { route, rank } = ATTEMPT;
  const load = {
    busy: 10,
    limit: 10,
    serviceTimeMs: 50,
    pressure: 1,
    downstreamPressure: 0,
    isCold: false,
    isLeaving: false,
  };
  const outcome = {
    kind: 'refused',
    code: 'overloaded',
    retryAfterMs: 0,
    wasOffered: false,
  } as const;
  task.send({ kind: 'call-ended', rankedRequest: { route, rank }, load, outcome });
  return { clock, task };
}

test('in calm a caller that comes back is admitted like any other', () => {
  // Guards against returns after a failure of a backend server that find no credit left.
  const clock = new FakeClock();
  const task = new LoadTask({ clock, random: () => 0.5 });
  for (let attempt = 0; attempt < 20; attempt += 1) {
    const arrivedAt = clock.now();
    const callerTimeoutMs = ATTEMPT.callerTimeoutMs === null ? null : 7000 - arrivedAt;
    assert.equal(task.limit({ ...ATTEMPT, arrivedAt, callerTimeoutMs }), null);
    clock.advance(50);
  }
});

test('under pressure the returns of one caller add nothing to what is admitted', () => {
  // Guards against a caller that gets in by repeating its request often enough.
  const { clock, task } = openOverloaded();
  const admit = (fingerprint: string, callerTimeoutMs: number): boolean =>
    task.limit({ ...ATTEMPT, fingerprint, arrivedAt: clock.now(), callerTimeoutMs }) === null;
  const requests = Array.from({ length: 10 }, (_, request) => String(request));
  const refused = requests.find((fingerprint) => !admit(fingerprint, 6000));
  assert.ok(refused !== undefined);
  for (let waitedMs = 10; waitedMs <= 90; waitedMs += 10) {
    clock.advance(10);
    assert.equal(admit(refused, 6000 - waitedMs), false);
  }
});

test('a refusal says how old the load is on which it is based', () => {
  // Guards against a refusal that cannot be traced to a report.
  const { clock, task } = openOverloaded();
  clock.advance(70);
  const refusals = Array.from({ length: 20 }, (_, request) =>
    task.limit({ ...ATTEMPT, fingerprint: String(request), arrivedAt: clock.now() }),
  ).filter((limitation) => limitation !== null);
  assert.ok(refusals.length > 0);
  refusals.forEach(({ details }) => {
    assert.equal(details['loadAgeMs'], 70);
    assert.equal(details['attempt'], 'first');
  });
});
