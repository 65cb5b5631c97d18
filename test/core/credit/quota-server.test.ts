import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { QuotaServerMessage } from '../../../src/core/credit/credit-message.js';
import { decideQuotaServer, initialQuotaServer } from '../../../src/core/credit/quota-server.js';
import { account } from './fleet.js';

const zones = ['a', 'b', 'c'].map((name) => ({
  name,
  region: 'r',
  state: name === 'c' ? ('out' as const) : ('in' as const),
}));
const configuration = {
  revision: 1,
  seats: ['s'],
  zones,
  services: [],
  backendServers: [],
  accounts: [account('x', 1, 100)],
  routes: [],
};
const draw: Extract<QuotaServerMessage, { kind: 'draw' }> = {
  kind: 'draw',
  peer: 'e',
  draw: { kind: 'draw', drawId: 1, account: 'x', want: 1, isAhead: false },
};
const zoneContact: QuotaServerMessage = { kind: 'zone-contacted', zone: 'b' };

/**
 * Feeds messages to a quota server, with a tick every second and, while `hasContact` is
 * true, contact from zone b; returns the granted tokens.
 */
function grantedTokens(
  messages: readonly (readonly [at: number, message: QuotaServerMessage])[],
  hasContact: (at: number) => boolean = () => true,
) {
  const heartbeats = Array.from({ length: 40 }, (_, second) => second * 1000).flatMap((at) => [
    [at, { kind: 'tick' }] as const,
    ...(hasContact(at) ? [[at, zoneContact] as const] : []),
  ]);
  let state = initialQuotaServer({ seat: 's', zone: 'a', incarnation: '5', now: 0 });
  return [[0, { kind: 'configured', configuration }] as const, ...heartbeats, ...messages]
    .sort(([left], [right]) => left - right)
    .flatMap(([at, message]) => {
      const { state: next, effects } = decideQuotaServer(state, message, at);
      state = next;
      return effects.flatMap((effect) => (effect.kind === 'grant' ? [effect.grant.tokens] : []));
    });
}

test('a starting quota server waits, then refills from an empty bucket', () => {
  // Guards against tokens that the predecessor has granted already; one token takes one second.
  assert.deepEqual(
    grantedTokens([
      [5900, draw],
      [6500, draw],
      [7500, draw],
    ]),
    [0, 0, 1],
  );
});

test('a quota server without contact to each zone in service does not grant', () => {
  // Guards against a start inside a network partition with the predecessor on the other side.
  assert.deepEqual(
    grantedTokens([[20_500, draw]], () => false),
    [0],
  );
});

test('an isolated quota server stops granting, and waits when contact is restored', () => {
  // Guards against an isolated quota server that grants beside its successor.
  const hasContact = (at: number) => at <= 10_000 || at >= 20_000;
  const draws = [9500, 16_500, 22_500, 28_500].map((at) => [at, draw] as const);
  assert.deepEqual(grantedTokens(draws, hasContact), [1, 0, 0, 1]);
});

test('a quota server that was paused or superseded does not grant', () => {
  // Guards against a paused process that grants tokens which its successor has granted as well.
  const late: QuotaServerMessage = { kind: 'timer-late', lateMs: 1001 };
  assert.deepEqual(
    grantedTokens([
      [10_100, late],
      [10_500, draw],
      [18_500, draw],
    ]),
    [0, 1],
  );
  const newer: QuotaServerMessage = { kind: 'incarnation-reported', incarnation: '6' };
  assert.deepEqual(
    grantedTokens([
      [10_100, newer],
      [10_500, draw],
      [30_500, draw],
    ]),
    [0, 0],
  );
});

test('a lowered burst takes effect at once, a raised one after the wait', () => {
  // Guards against a part of an account that two seats use during a configuration change.
  const change = (revision: number, burst: number): QuotaServerMessage => ({
    kind: 'configured',
    configuration: { ...configuration, revision, accounts: [account('x', 1, burst)] },
  });
  const all: QuotaServerMessage = { ...draw, draw: { ...draw.draw, want: 100 } };
  const messages = [
    [20_000, change(2, 4)],
    [20_100, all],
    [20_200, change(3, 50)],
    [29_000, all],
    [38_500, all],
  ] as const;
  assert.deepEqual(grantedTokens(messages), [4, 4, 9]);
});
