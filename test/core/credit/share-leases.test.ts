import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { QuotaServerMessage } from '../../../src/core/credit/credit-message.js';
import { decideQuotaServer, initialQuotaServer } from '../../../src/core/credit/quota-server.js';
import { splitOverSeats } from '../../../src/core/credit/seat-split.js';
import type { Lease } from '../../../src/core/model/peer-message.js';
import { account } from './fleet.js';

const seats = ['s1', 's2'];
const configurationOf = (revision: number, burst: number): QuotaServerMessage => ({
  kind: 'configured',
  configuration: {
    revision,
    seats,
    zones: [{ name: 'a', region: 'r', state: 'in' }],
    services: [],
    backendServers: [],
    accounts: [account('x', 2, burst)],
    routes: [],
  },
});
const [first, second] = splitOverSeats(account('x', 2, 40), seats).map(({ seat }) => seat) as [
  string,
  string,
];
const draw = (want: number, drawId = 1): QuotaServerMessage => ({
  kind: 'draw',
  peer: 'e',
  draw: { kind: 'draw', drawId, account: 'x', want, isAhead: false },
});
const leaseRequest = (incarnation: string): QuotaServerMessage => ({
  kind: 'lease-requested',
  peer: first,
  request: { kind: 'lease-request', leaseId: 1, incarnation, accounts: ['x'] },
});

/** Feeds messages to a quota server that has contact to its zone and a tick every 100 ms. */
function replay(
  seat: string,
  messages: readonly (readonly [at: number, message: QuotaServerMessage])[],
) {
  let state = initialQuotaServer({ seat, zone: 'a', incarnation: '5', now: 0 });
  const heartbeats = Array.from({ length: 400 }, (_, place) => place * 100).flatMap((at) => [
    [at, { kind: 'zone-contacted', zone: 'a' }] as const,
    [at, { kind: 'tick' }] as const,
  ]);
  return [[0, configurationOf(1, 40)] as const, ...heartbeats, ...messages]
    .sort(([left], [right]) => left - right)
    .flatMap(([at, message]) => {
      const { state: next, effects } = decideQuotaServer(state, message, at);
      state = next;
      return effects.map((effect) => ({ at, effect }));
    });
}

const leasesIn = (effects: ReturnType<typeof replay>) =>
  effects.flatMap(({ effect }) => (effect.kind === 'send-lease' ? effect.lease.shares : []));
const grantsIn = (effects: ReturnType<typeof replay>) =>
  effects.flatMap(({ effect }) => (effect.kind === 'grant' ? [effect.grant] : []));

test('a leased share grants no tokens until the lease and its grants have expired', () => {
  // Guards rate-bound against a share that lessor and lessee use at the same time.
  const effects = replay(second, [
    [20_050, leaseRequest('7')],
    [20_060, draw(5)],
    [20_700, draw(5, 2)],
    [23_000, draw(5, 3)],
  ]);
  const [share] = leasesIn(effects);
  assert.deepEqual([share?.ratePerSecond, share?.burst], [1, 20]);
  // One token per second since 20050 + 505 + 202 ms.
  assert.deepEqual(
    grantsIn(effects).map(({ tokens }) => tokens),
    [0, 0, 2],
  );
});

test('outstanding tokens are not leased', () => {
  // Guards rate-bound against tokens that an entry and the lessee both spend.
  const effects = replay(second, [
    [20_050, draw(8)],
    [20_060, leaseRequest('7')],
  ]);
  assert.deepEqual(
    leasesIn(effects).map(({ burst, tokens }) => [burst, Math.floor(tokens)]),
    [[12, 6]],
  );
});

test('a share is leased to one incarnation of one quota server at a time', () => {
  // Guards rate-bound against an isolated lessee that grants beside its successor.
  const effects = replay(second, [
    [20_050, leaseRequest('7')],
    [20_100, leaseRequest('8')],
    [20_900, leaseRequest('8')],
  ]);
  assert.deepEqual(
    effects.flatMap(({ at, effect }) => (effect.kind === 'send-lease' ? [at] : [])),
    [20_050, 20_900],
  );
});

test('a share that is lowered while it is leased grants no tokens', () => {
  // Guards against a negative burst in force, which granted tokens that did not exist.
  const ahead: QuotaServerMessage = {
    kind: 'draw',
    peer: 'e',
    draw: { kind: 'draw', drawId: 9, account: 'x', want: 3, isAhead: true },
  };
  const effects = replay(second, [
    [20_050, leaseRequest('7')],
    [20_060, configurationOf(2, 8)],
    [20_070, ahead],
    [20_080, draw(3)],
  ]);
  assert.deepEqual(
    grantsIn(effects).map(({ tokens }) => tokens),
    [0, 0],
  );
  assert.ok(effects.every(({ effect }) => effect.kind !== 'violation'));
});

/**
 * The first seat gets a draw at 20 s, requests a lease at its next renewal and receives this reply;
 * returns the grants of the later draws.
 */
function grantsUnderLease(change: Partial<Lease>, replyAt: number, draws: readonly number[]) {
  const asked = replay(first, [[20_010, draw(1)]]).find(
    ({ effect }) => effect.kind === 'send-lease-request',
  );
  assert.ok(asked?.effect.kind === 'send-lease-request' && asked.effect.seat === second);
  const { leaseId, incarnation } = asked.effect.request;
  const shares = [{ account: 'x', ratePerSecond: 1, burst: 20, tokens: 10 }];
  const lease: Lease = { kind: 'lease', leaseId, incarnation, shares, ...change };
  const effects = replay(first, [
    [20_010, draw(1)],
    [asked.at + replyAt, { kind: 'leased', seat: second, lease }],
    ...draws.map((after, place) => [asked.at + after, draw(100, 10 + place)] as const),
  ]);
  return grantsIn(effects)
    .slice(1)
    .map(({ tokens, isFinal }) => [tokens, isFinal]);
}

test('a lessee uses a lease for its lifetime only', () => {
  // Guards rate-bound: after the lifetime the lessor grants from its share again.
  assert.deepEqual(grantsUnderLease({}, 5, [10]), [[23, true]]);
  assert.deepEqual(grantsUnderLease({}, 5, [510]), [[20, false]]);
  assert.deepEqual(grantsUnderLease({}, 501, [502]), [[13, false]]);
});

test('a lease of another incarnation or request adds nothing, and a larger one is capped', () => {
  // Guards rate-bound against repeated replies and against a share of an older configuration.
  assert.deepEqual(grantsUnderLease({ incarnation: '4' }, 5, [10]), [[13, false]]);
  assert.deepEqual(grantsUnderLease({ leaseId: 999 }, 5, [10]), [[13, false]]);
  const shares = [{ account: 'x', ratePerSecond: 50, burst: 500, tokens: 400 }];
  assert.deepEqual(grantsUnderLease({ shares }, 5, [10]), [[39, true]]);
});
