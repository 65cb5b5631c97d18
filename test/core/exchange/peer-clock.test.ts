import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  measureDelay,
  recordRoundTrip,
  type PeerClock,
} from '../../../src/core/exchange/peer-clock.js';

/** The peer's clock is behind the own one by this much. */
const DIFFERENCE_MS = 5000;

/** A round trip of 4 ms: the peer read its clock in the middle. */
const clock: PeerClock = recordRoundTrip(null, { sentAt: 10_000, peerInstant: 5002 });

function delayOf(before: PeerClock, sentAtOwn: number, receivedAt: number): number {
  return measureDelay(before, { sentAt: sentAtOwn - DIFFERENCE_MS, receivedAt }).delayMs;
}

test('a frame in time has no more delay than a round trip', () => {
  // Guards against calls that wait for a confirmation on a link without any delay.
  const delayMs = delayOf(clock, 20_000, 20_002);
  assert.ok(delayMs >= 2 && delayMs <= 6, `${delayMs} ms`);
});

test('a late frame is never taken for one in time', () => {
  // Guards against starting calls that were held up on their way.
  assert.ok(delayOf(clock, 20_000, 20_400) >= 400);
});

test('the first frame of a link is late when it arrives long after the link was opened', () => {
  // Guards against taking the first delay on a link as its usual one.
  const opened = recordRoundTrip(null, { sentAt: 10_000, peerInstant: 10_001 - DIFFERENCE_MS });
  assert.ok(delayOf(opened, 10_001, 10_501) >= 500);
});

test('a peer whose clock stood still has no delay after the next round trip', () => {
  // Guards against a link whose calls count as late for ever after a suspension of the peer.
  const stoodStillMs = 2000;
  const delayMs = delayOf(clock, 30_000 - stoodStillMs, 30_002);
  assert.ok(delayMs >= stoodStillMs);
  const peerInstant = 30_012 - DIFFERENCE_MS - stoodStillMs;
  const next = recordRoundTrip(clock, { sentAt: 30_010, peerInstant });
  assert.ok(delayOf(next, 30_020 - stoodStillMs, 30_022) <= 6);
});

test('a late frame is recognized after the own clock stood still', () => {
  // Guards against taking the delay of a late frame for a difference of the clocks.
  const stoodStillMs = 2000;
  const inTime = measureDelay(clock, {
    sentAt: 30_000 + stoodStillMs - DIFFERENCE_MS,
    receivedAt: 30_002,
  });
  assert.equal(inTime.delayMs, 0);
  const late = measureDelay(inTime.clock, {
    sentAt: 30_100 + stoodStillMs - DIFFERENCE_MS,
    receivedAt: 30_500,
  });
  assert.ok(late.delayMs >= 398, `${late.delayMs} ms`);
});
