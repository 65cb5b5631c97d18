import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decideAccepts,
  emptyBacklog,
  type AcceptBacklog,
  type AcceptEffect,
  type AcceptMessage,
} from '../../../src/core/exchange/accept-backlog.js';
import type { Instant, Milliseconds } from '../../../src/core/model/time.js';

/** Time that callers of the platform give a node to accept their connection. */
const ACCEPT_TIMEOUT_MS: Milliseconds = 1000;

/** Costs of a turn of the event loop: a connection that is served, one that is dropped, and none. */
const SERVE_MS = 10;
const DROP_MS = 0.5;
const IDLE_MS = 0.1;

/** Time between two connections: three times what the node can serve. */
const INTERVAL_MS = SERVE_MS / 3;

const LENGTH_MS = 20_000;

/** Connection in the queue of the listening socket. */
interface Waiting {
  readonly openedAt: Instant;
  readonly isProbe: boolean;
}

interface Served {
  readonly served: number;
  readonly dropped: number;
  /** Connections that waited for no longer than their callers do. */
  readonly inTime: number;
  readonly longestWaitMs: Milliseconds;
}

/** Plays a node that accepts one connection in each turn of its event loop. */
function play(intervalMs: Milliseconds, waitingAtStart = 0): Served {
  const queue: Waiting[] = Array.from({ length: waitingAtStart }, () => ({
    openedAt: 0,
    isProbe: false,
  }));
  const waits: number[] = [];
  let state: AcceptBacklog = emptyBacklog;
  let dropped = 0;
  let isDropping = false;
  let isPolling = false;
  let now = 0;
  let nextAt = 0;
  const perform = (effect: AcceptEffect): void => {
    switch (effect.kind) {
      case 'poll':
        isPolling = true;
        break;
      case 'probe':
        queue.push({ openedAt: now, isProbe: true });
        break;
      case 'close-probe':
        break;
      case 'drop':
        isDropping = true;
        break;
      case 'accept':
        isDropping = false;
        break;
    }
  };
  const send = (message: AcceptMessage): void => {
    const next = decideAccepts(state, message, now);
    state = next.state;
    next.effects.forEach(perform);
  };
  while (now < LENGTH_MS) {
    for (; nextAt <= now; nextAt += intervalMs) queue.push({ openedAt: nextAt, isProbe: false });
    const first = queue.shift();
    if (first === undefined) now += IDLE_MS;
    else if (isDropping) {
      now += DROP_MS;
      dropped += 1;
      send({ kind: 'dropped' });
    } else if (first.isProbe) send({ kind: 'probe-accepted' });
    else {
      send({ kind: 'accepted', isSaturated: intervalMs <= SERVE_MS });
      waits.push(now - first.openedAt);
      now += SERVE_MS;
    }
    if (isPolling) {
      isPolling = false;
      send({ kind: 'polled' });
    }
  }
  return {
    served: waits.length,
    dropped,
    inTime: waits.filter((waitMs) => waitMs < ACCEPT_TIMEOUT_MS).length,
    longestWaitMs: Math.max(...waits),
  };
}

test('a node at three times its load serves callers that still wait', () => {
  // Guards against a node that only accepts connections whose callers have left.
  const { inTime, longestWaitMs } = play(INTERVAL_MS);
  const possible = LENGTH_MS / SERVE_MS;
  assert.ok(inTime >= 0.85 * possible, `${inTime} of ${possible} served in time`);
  assert.ok(longestWaitMs < ACCEPT_TIMEOUT_MS, `${longestWaitMs} ms`);
});

test('a node that keeps up drops no connection', () => {
  // Guards against callers that are turned away by a node with time to spare.
  const { served } = play(SERVE_MS * 1.25);
  const sent = LENGTH_MS / (SERVE_MS * 1.25);
  assert.ok(served >= sent - 1, `${served} of ${sent}`);
});

test('a saturated node drops no connection while they wait shortly', () => {
  // Guards against callers that are turned away although the node reads them in time.
  const { dropped, longestWaitMs } = play(SERVE_MS, 10);
  assert.equal(dropped, 0);
  assert.ok(longestWaitMs < ACCEPT_TIMEOUT_MS / 2, `${longestWaitMs} ms`);
});

test('connections are dropped for half a second at most before some are taken again', () => {
  // Guards against a node that takes nothing while connections arrive faster than it can drop them.
  const dropping: AcceptBacklog = { kind: 'dropping', since: 0, dropped: 9, hasNew: true };
  const { effects } = decideAccepts(dropping, { kind: 'polled' }, 500);
  assert.deepEqual(effects, [{ kind: 'accept', dropped: 9, tookMs: 500 }]);
});

test('a probe that was never accepted drops no connection of a node with time to spare', () => {
  // Guards against callers that are turned away since the node could not connect to itself.
  const probing: AcceptBacklog = { kind: 'probing', since: 0 };
  const { effects } = decideAccepts(probing, { kind: 'accepted', isSaturated: false }, 60_000);
  assert.deepEqual(effects, [{ kind: 'close-probe' }]);
});
