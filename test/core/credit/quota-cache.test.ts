import assert from 'node:assert/strict';
import { test } from 'node:test';
import type {
  QuotaCacheEffect,
  QuotaCacheMessage,
} from '../../../src/core/credit/credit-message.js';
import { decideQuotaCache, initialQuotaCache } from '../../../src/core/credit/quota-cache.js';
import { account } from './fleet.js';

const configuration = {
  revision: 1,
  seats: ['s1', 's2'],
  zones: [],
  services: [],
  backendServers: [],
  accounts: [account('a', 2, 5)],
  routes: [],
};

/** Feeds timed messages to a quota cache and returns the effects of each. */
function replay(messages: readonly (readonly [at: number, message: QuotaCacheMessage])[]) {
  let { state } = decideQuotaCache(
    initialQuotaCache({ node: 'n' }),
    { kind: 'configured', configuration },
    0,
  );
  return messages.map(([at, message]) => {
    const { state: next, effects } = decideQuotaCache(state, message, at);
    state = next;
    return effects;
  });
}

const spend = (requestId: string): QuotaCacheMessage => ({
  kind: 'spend',
  requestId,
  account: 'a',
});
const kinds = (effects: readonly QuotaCacheEffect[] | undefined) =>
  effects?.map(({ kind }) => kind);

/** Seats in the order in which this quota cache sends draws to them. */
const [first, second] = ['r1', 'r2'].map((_, place) => {
  const effects = replay([
    [0, spend('r1')],
    [60, { kind: 'tick' }],
  ])[place];
  const draw = effects?.find(({ kind }) => kind === 'send-draw');
  return draw?.kind === 'send-draw' ? draw.seat : '';
}) as [string, string];

const granted = (seat: string, drawId: number, tokens: number): QuotaCacheMessage => ({
  kind: 'granted',
  seat,
  grant: {
    kind: 'grant',
    drawId,
    account: 'a',
    tokens,
    retryAfterMs: tokens > 0 ? 0 : 700,
    isFinal: false,
  },
});

test('a spend is refused when all seats refuse, and without a draw during the backoff', () => {
  // Guards against a flooding account that causes a draw for each request.
  const steps = replay([
    [0, spend('r1')],
    [2, granted(first, 1, 0)],
    [4, granted(second, 2, 0)],
    [5, spend('r2')],
    [300, spend('r3')],
  ]);
  assert.deepEqual(kinds(steps[1]), ['send-draw']);
  assert.deepEqual(steps[2], [{ kind: 'refuse', requestId: 'r1', retryAfterMs: 698 }]);
  assert.deepEqual(steps[3], [{ kind: 'refuse', requestId: 'r2', retryAfterMs: 697 }]);
  assert.deepEqual(kinds(steps[4]), ['send-draw']);
});

test('a draw goes to the next seat when a seat does not answer or is lost', () => {
  // Guards against requests that wait for a failed host.
  const silent = replay([
    [0, spend('r1')],
    [60, { kind: 'tick' }],
    [61, granted(second, 2, 1)],
  ]);
  assert.deepEqual(kinds(silent[2]), ['admit', 'send-settlement']);
  const lost = replay([
    [0, spend('r1')],
    [1, { kind: 'seat-lost', seat: first }],
    [2, { kind: 'seat-lost', seat: second }],
  ]);
  assert.deepEqual(kinds(lost[1]), ['send-draw']);
  assert.deepEqual(kinds(lost[2]), ['refuse']);
});

test('a repeated, expired or unknown grant admits no request', () => {
  // Guards rate-bound: a grant counts once, and its lifetime starts when the draw is sent.
  const steps = replay([
    [0, spend('r1')],
    [1, granted(first, 1, 1)],
    [2, granted(first, 1, 1)],
    [3, spend('r2')],
    [4, granted('s9', 2, 1)],
    [204, granted(second, 2, 1)],
  ]);
  assert.deepEqual(kinds(steps[1]), ['admit', 'send-settlement']);
  assert.deepEqual(kinds(steps[2]), []);
  assert.deepEqual(kinds(steps[4]), []);
  assert.ok(steps[5]?.every(({ kind }) => kind !== 'admit'));
});

test('a spend never waits longer than 300 ms', () => {
  // Guards against requests that hang while no quota server answers.
  const ticks = Array.from(
    { length: 15 },
    (_, index) => [(index + 1) * 20, { kind: 'tick' }] as const,
  );
  const steps = replay([[0, spend('r1')], ...ticks]);
  const place = steps.findIndex((effects) => effects.some(({ kind }) => kind === 'refuse'));
  assert.ok(place >= 1 && place * 20 <= 300, `refused at tick ${place}`);
});

test('a stopping quota cache returns its unspent tokens', () => {
  // Guards against tokens that are lost at each graceful stop.
  const steps = replay([
    [0, spend('r1')],
    [1, { kind: 'abandoned', requestId: 'r1' }],
    [2, { kind: 'stop' }],
    [3, granted(first, 1, 1)],
  ]);
  const [settlement] = steps[3] ?? [];
  assert.ok(settlement?.kind === 'send-settlement');
  assert.equal(settlement.settlement.returned, 1);
});
