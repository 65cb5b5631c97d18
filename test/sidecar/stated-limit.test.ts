import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import type { PlatformBackend } from '../../standin/platform-backend.js';
import { startFleet, waitFor, type Fleet, type FleetHost } from './fleet.js';

const LIMIT_PER_S = 10;

/** Time from the first answer with a limit until the limit has to be kept. */
const NOTICE_MS = 500;

/** Most requests that the platform's rule allows a server within a window. */
function allowedWithin(windowMs: number): number {
  return 1.5 * LIMIT_PER_S * (windowMs / 1000) + 5;
}

/** Highest number of arrivals within any window, from the given time on. */
function mostWithin({ runs }: PlatformBackend, windowMs: number, fromMs: number): number {
  const arrivals = runs.map(({ receivedAtMs }) => receivedAtMs).filter((at) => at >= fromMs);
  return arrivals.reduce((most, start) => {
    const count = arrivals.filter((at) => at >= start && at < start + windowMs).length;
    return Math.max(most, count);
  }, 0);
}

/** Sends requests at a steady rate and counts the answers with success. */
async function sendSteadily(
  fleet: Fleet,
  host: FleetHost,
  { perSecond, forMs, name }: { perSecond: number; forMs: number; name: string },
): Promise<{ readonly sent: number; readonly served: number }> {
  const answers: Promise<number>[] = [];
  const startedAt = performance.now();
  for (let sent = 0; performance.now() - startedAt < forMs; sent += 1) {
    const answer = fleet.call(host, { id: `${name}${sent}`, path: '/look/1' });
    answers.push(answer.then(({ status }) => status));
    await sleep(1000 / perSecond);
  }
  const statuses = await Promise.all(answers);
  return {
    sent: statuses.length,
    served: statuses.filter((status) => status === 200).length,
  };
}

test('a backend server that states a limit is sent no more than it', async (t) => {
  // Guards against overwhelming a server in need with its usual load.
  const fleet = await startFleet(t, {
    hosts: [
      { service: 'desk', zone: 'a' },
      { service: 'stock', zone: 'a' },
    ],
  });
  const [desk, stock] = fleet.hosts;
  assert.ok(desk !== undefined && stock !== undefined);
  stock.backend.statedLimit = String(LIMIT_PER_S);
  const statedAt = performance.now();
  await sendSteadily(fleet, desk, { perSecond: 60, forMs: 3500, name: 'a' });
  const most = mostWithin(stock.backend, 2000, statedAt + NOTICE_MS);
  assert.ok(most <= allowedWithin(2000), `${most} requests in 2 s`);
  // Guards against a server in need that gets far less than it takes.
  assert.ok(most >= LIMIT_PER_S, `${most} requests in 2 s`);
});

test('an answer without a limit ends it', async (t) => {
  // Guards against a server that stays limited after it has recovered.
  const fleet = await startFleet(t, { hosts: [{ service: 'stock', zone: 'a' }] });
  const [stock] = fleet.hosts;
  assert.ok(stock !== undefined);
  stock.backend.statedLimit = String(LIMIT_PER_S);
  await sendSteadily(fleet, stock, { perSecond: 40, forMs: 1000, name: 'b' });
  stock.backend.statedLimit = null;
  await sleep(400);
  await sendSteadily(fleet, stock, { perSecond: 40, forMs: 500, name: 'c' });
  const { sent, served } = await sendSteadily(fleet, stock, {
    perSecond: 40,
    forMs: 1000,
    name: 'd',
  });
  assert.equal(served, sent);
});

test('requests go to a server without a limit instead of being refused', async (t) => {
  // Guards against a limited server that receives an equal share of the requests.
  const fleet = await startFleet(t, {
    hosts: [
      { service: 'stock', zone: 'a' },
      { service: 'stock', zone: 'a' },
    ],
  });
  const [limited, free] = fleet.hosts;
  assert.ok(limited !== undefined && free !== undefined);
  limited.backend.statedLimit = String(LIMIT_PER_S);
  const { sent, served } = await sendSteadily(fleet, limited, {
    perSecond: 60,
    forMs: 2500,
    name: 'e',
  });
  assert.ok(served >= sent * 0.98, `${served} of ${sent} served`);
  const most = mostWithin(limited.backend, 1000, 0);
  assert.ok(most <= allowedWithin(1000), `${most} requests in 1 s`);
});

test('a backend server that says it leaves is sent no more requests', async (t) => {
  // Guards against sending requests to a server that leaves without a change of its entry.
  const fleet = await startFleet(t, {
    hosts: [
      { service: 'desk', zone: 'a' },
      { service: 'stock', zone: 'a' },
      { service: 'stock', zone: 'a' },
    ],
  });
  const [desk, leaving, staying] = fleet.hosts;
  assert.ok(desk !== undefined && leaving !== undefined && staying !== undefined);
  leaving.backend.isLeaving = true;
  await sendSteadily(fleet, desk, { perSecond: 50, forMs: 600, name: 'f' });
  await waitFor('a run at the leaving server', () => leaving.backend.runs.length > 0);
  const before = leaving.backend.runs.length;
  const { sent, served } = await sendSteadily(fleet, desk, {
    perSecond: 50,
    forMs: 600,
    name: 'g',
  });
  assert.equal(served, sent);
  assert.equal(leaving.backend.runs.length, before);
});
