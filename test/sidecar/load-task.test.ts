import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LoadTask, type RankedRequest } from '../../src/sidecar/load-task.js';

const REQUEST: RankedRequest = {
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
  task.send({ kind: 'call-ended', rankedRequest: REQUEST, load, outcome });
  return { clock, task };
}

test('a refusal says how old the load is on which it is based', () => {
  // Guards against a refusal that cannot be traced to a report.
  const { clock, task } = openOverloaded();
  clock.advance(70);
  const refusals = Array.from({ length: 20 }, () => task.limit(REQUEST)).filter(
    (limitation) => limitation !== null,
  );
  assert.ok(refusals.length > 0);
  refusals.forEach(({ details }) => {
    assert.equal(details['loadAgeMs'], 70);
  });
});
