import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  decideLinkHealth,
  initialLinkHealth,
  toPeerClock,
  type LinkHealth,
  type LinkHealthMessage,
} from '../../../src/core/membership/link-health.js';

type Script = readonly (readonly [now: number, message: LinkHealthMessage])[];

/** Runs a script with a tick every 50 ms and lists the effects with their instants. */
function runScript(script: Script, untilMs: number): readonly string[] {
  let state: LinkHealth = decideLinkHealth(initialLinkHealth, { kind: 'opened' }, 0).state;
  const ticks: Script = Array.from({ length: untilMs / 50 }, (_, index) => [
    (index + 1) * 50,
    { kind: 'tick' },
  ]);
  return [...script, ...ticks]
    .sort(([left], [right]) => left - right)
    .flatMap(([now, message]) => {
      const next = decideLinkHealth(state, message, now);
      state = next.state;
      return next.effects.map((effect) => `${effect.kind} ${now}`);
    });
}

const outstanding = (count: number): LinkHealthMessage => ({ kind: 'calls-outstanding', count });

test('a link with calls in flight is silent after 500 ms, and an idle link after 3 s', () => {
  // Guards against calls that wait on a dead connection that was never closed (half-open).
  const called = runScript([[1000, outstanding(1)]], 5000);
  assert.deepEqual(called.at(-1), 'silent 1500');
  assert.ok(called.includes('send-ping 1150'));
  assert.deepEqual(runScript([], 5000).at(-1), 'silent 3000');
});

test('any received frame keeps a link alive, and a busy link carries few pings', () => {
  // Guards against heartbeats that add needless traffic to a busy link.
  const frames: Script = Array.from({ length: 100 }, (_, index) => [
    index * 100 + 1,
    { kind: 'frame-received' },
  ]);
  const effects = runScript([[0, outstanding(3)], ...frames], 10_000);
  assert.ok(!effects.some((effect) => effect.startsWith('silent')));
  assert.ok(effects.length <= 7, `${effects.length} pings in 10 s`);
});

test('a call some time after a cancelled call does not make the link silent', () => {
  // Guards against closing a healthy link because an earlier call was cancelled without an answer.
  const effects = runScript(
    [
      [0, outstanding(1)],
      [10, outstanding(0)],
      [160, { kind: 'pong-received', echoedSentAt: 150, receivedAt: 5 }],
      [900, outstanding(1)],
      [1100, { kind: 'frame-received' }],
      [1101, outstanding(0)],
    ],
    1300,
  );
  assert.ok(!effects.some((effect) => effect.startsWith('silent')));
});

test('a pause of the own process does not make its links silent', () => {
  // Guards against a node that replaces all its links after a pause of its process.
  const opened = decideLinkHealth(initialLinkHealth, { kind: 'opened' }, 0).state;
  const called = decideLinkHealth(opened, outstanding(1), 10).state;
  const before = decideLinkHealth(called, { kind: 'tick' }, 50).state;
  const woken = decideLinkHealth(before, { kind: 'tick' }, 4000);
  assert.ok(!woken.effects.some((effect) => effect.kind === 'silent'));
});

test('a converted deadline is never later than the deadline, under any delay and drift', () => {
  // Guards against a gate that starts an order after the deadline of its sender.
  const exchange = fc.record({
    waitMs: fc.double({ min: 0, max: 5000, noNaN: true }),
    thereMs: fc.double({ min: 0, max: 3000, noNaN: true }),
    backMs: fc.double({ min: 0, max: 3000, noNaN: true }),
  });
  fc.assert(
    fc.property(
      fc.array(exchange, { minLength: 1, maxLength: 20 }),
      fc.double({ min: -1e6, max: 1e6, noNaN: true }),
      fc.double({ min: -4e-4, max: 4e-4, noNaN: true }),
      fc.double({ min: 0, max: 60_000, noNaN: true }),
      (exchanges, offset, drift, aheadMs) => {
        const peerAt = (own: number) => own * (1 + drift) + offset;
        let { state } = decideLinkHealth(initialLinkHealth, { kind: 'opened' }, 0);
        let now = 0;
        exchanges.forEach(({ waitMs, thereMs, backMs }) => {
          const sentAt = now + waitMs;
          const receivedAt = peerAt(sentAt + thereMs);
          now = sentAt + thereMs + backMs;
          state = decideLinkHealth(
            state,
            { kind: 'pong-received', echoedSentAt: sentAt, receivedAt },
            now,
          ).state;
        });
        const deadline = now + aheadMs;
        const translated = toPeerClock(state, deadline);
        assert.ok(translated !== null && translated <= peerAt(deadline) + 1e-6);
      },
    ),
    { seed: 20_261_204, numRuns: 500 },
  );
});
