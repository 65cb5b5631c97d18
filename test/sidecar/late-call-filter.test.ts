import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CallNumber } from '../../src/core/exchange/mesh-frame.js';
import type { MeshCall } from '../../src/core/exchange/mesh-call.js';
import { LateCallFilter, type LateCalls } from '../../src/sidecar/late-call-filter.js';
import { callOf } from './gate.js';

/** The clock of the peer is ahead of the own one by this much. */
const AHEAD_MS = 70_000;

const CALL: MeshCall = callOf('a1', 'idempotent');

/** Filter of a link that was opened at 0 and whose first frame was sent 2 ms later. */
class RecordingFilter {
  now = 0;

  readonly delivered: (readonly [number: CallNumber, timeLeftMs: number])[] = [];

  readonly pings: number[] = [];

  readonly late: LateCalls[] = [];

  readonly filter = new LateCallFilter({
    clock: { now: () => this.now },
    deliver: ({ number, call }) => this.delivered.push([number, call.timeLeftMs]),
    sendPing: (sentAt) => this.pings.push(sentAt),
    onLateCalls: (late) => this.late.push(late),
  });

  constructor() {
    this.filter.recordHello(2 + AHEAD_MS);
  }

  get numbers(): readonly CallNumber[] {
    return this.delivered.map(([number]) => number);
  }

  get longestTimeLeftMs(): number {
    return Math.max(...this.delivered.map(([, timeLeftMs]) => timeLeftMs));
  }

  receive(number: CallNumber, sentAt: number, receivedAt: number): void {
    this.now = receivedAt;
    this.filter.receiveCall({ kind: 'call', number, call: CALL, sentAt: sentAt + AHEAD_MS });
  }

  receivePong(pingSentAt: number, sentAt: number, receivedAt: number): void {
    this.now = receivedAt;
    this.filter.receivePong({ kind: 'pong', pingSentAt, sentAt: sentAt + AHEAD_MS });
  }
}

test('a late call waits for the echo of a ping, and its cancellation removes it', () => {
  // Guards against starting calls whose cancellations follow them on a late link.
  const link = new RecordingFilter();
  link.receive(1, 100, 700);
  link.receive(2, 150, 701);
  assert.deepEqual([link.numbers, link.pings], [[], [700]]);
  assert.ok(link.filter.cancel(1));
  link.receivePong(700, 702, 704);
  assert.deepEqual(link.numbers, [2]);
  assert.ok(link.longestTimeLeftMs <= CALL.timeLeftMs - (704 - 150));
  assert.deepEqual(
    link.late.map(({ calls, cancelled }) => [calls, cancelled]),
    [[2, 1]],
  );
});

test('an echo of an earlier ping does not confirm a late call', () => {
  // Guards against an echo that the peer sent before its cancellations.
  const link = new RecordingFilter();
  link.receive(1, 100, 700);
  link.receivePong(650, 652, 701);
  assert.deepEqual(link.numbers, []);
});

test('the calls of a closed link are dropped', () => {
  // Guards against starting calls whose sender counts them as lost.
  const link = new RecordingFilter();
  link.receive(1, 100, 700);
  link.filter.close();
  link.receivePong(700, 702, 704);
  assert.deepEqual(link.numbers, []);
  assert.equal(link.late.length, 1);
});

test('a peer whose clock stood still is held up for one round trip', () => {
  // Guards against refusing the calls of a peer that was suspended, for good.
  const link = new RecordingFilter();
  link.receive(1, 1000 - 800, 1002);
  assert.deepEqual(link.numbers, []);
  link.receivePong(1002, 1004 - 800, 1006);
  assert.equal(link.numbers.length, 1);
  link.receive(2, 1010 - 800, 1012);
  assert.deepEqual(link.numbers, [1, 2]);
});

test('a call of a node of an earlier version is passed on at once', () => {
  // Guards against calls that wait for ever while a fleet is upgraded node by node.
  const link = new RecordingFilter();
  link.now = 500;
  link.filter.receiveCall({ kind: 'call', number: 1, call: CALL });
  link.filter.receivePong({ kind: 'pong' });
  assert.deepEqual(link.delivered, [[1, CALL.timeLeftMs]]);
});
