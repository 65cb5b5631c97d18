import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createDispatchState, decideDispatch } from '../../../src/core/dispatch/dispatch.js';
import type {
  DispatchEffect,
  DispatchMessage,
  DispatchState,
} from '../../../src/core/dispatch/dispatch-state.js';
import {
  applyStatement,
  PROBE_CALLS,
  unprobedLimit,
  type StartLimit,
} from '../../../src/core/dispatch/start-limit.js';
import type { Rank } from '../../../src/core/exchange/mesh-call.js';
import type { StatedLimit } from '../../../src/core/exchange/incoming-request.js';

const ROOT: Rank = { isNested: false, accountPriority: 0, routePriority: 1 };
const NESTED: Rank = { isNested: true, accountPriority: 0, routePriority: 1 };
const NONE: StatedLimit = { kind: 'none' };

function rateOf(ratePerSecond: number): StatedLimit {
  return { kind: 'rate', ratePerSecond };
}

/** Plays calls at a gate whose backend server takes `workMs` and states `limit` in its answers. */
class LimitedBackend {
  readonly startedAt: number[] = [];

  limit: StatedLimit;

  #state: DispatchState;

  #running: readonly { readonly callId: number; readonly sentAt: number }[] = [];

  constructor(limit: StatedLimit, slots: number) {
    this.limit = limit;
    this.#state = createDispatchState({ slots, coldRatePerSecond: 25 });
    this.send({ kind: 'condition', condition: { kind: 'warm' } }, 0);
  }

  send(message: DispatchMessage, now: number): void {
    const { state, effects } = decideDispatch(this.#state, message, now);
    this.#state = state;
    effects.forEach((effect) => this.#perform(effect, now));
  }

  /** Lets `perSecond` calls a second arrive and plays until `untilMs`, in steps of 5 ms. */
  play(
    perSecond: number,
    workMs: number,
    fromMs: number,
    untilMs: number,
    rank: Rank = ROOT,
  ): void {
    for (let now = fromMs; now < untilMs; now += 5) {
      this.#answer(workMs, now);
      const arrivals =
        Math.floor(((now + 5) * perSecond) / 1000) - Math.floor((now * perSecond) / 1000);
      for (let at = 0; at < arrivals; at += 1) {
        const callId = now * 100 + at;
        this.send({ kind: 'arrived', callId, rank, objectiveLeftMs: 1000, timeLeftMs: 3000 }, now);
      }
      this.send({ kind: 'tick' }, now);
    }
  }

  mostWithin(windowMs: number, fromMs: number): number {
    const starts = this.startedAt.filter((at) => at >= fromMs);
    return starts.reduce((most, from) => {
      const within = starts.filter((at) => at >= from && at < from + windowMs).length;
      return Math.max(most, within);
    }, 0);
  }

  #answer(workMs: number, now: number): void {
    const done = this.#running.filter(({ sentAt }) => now - sentAt >= workMs);
    this.#running = this.#running.filter(({ sentAt }) => now - sentAt < workMs);
    done.forEach(({ callId, sentAt }) => {
      this.send({ kind: 'limit-stated', statement: { limit: this.limit, sentAt } }, now);
      this.send({ kind: 'ended', callId, end: 'answered' }, now);
    });
  }

  #perform(effect: DispatchEffect, now: number): void {
    if (effect.kind === 'violation') assert.fail(`${effect.promise}: ${effect.detail}`);
    if (effect.kind !== 'start') return;
    this.startedAt.push(now);
    this.#running = [...this.#running, { callId: effect.callId, sentAt: now }];
  }
}

for (const ratePerSecond of [0, 0.8, 3.5, 29.8, 110]) {
  for (const rank of [ROOT, NESTED]) {
    const kind = rank.isNested ? 'nested calls' : 'root requests';
    test(`a server that states ${ratePerSecond} a second is sent that many ${kind}`, () => {
      // Guards against more requests than a server in need takes, and against far fewer.
      const backend = new LimitedBackend(rateOf(ratePerSecond), 120);
      backend.play(300, 90, 0, 10_000, rank);
      const most = backend.mostWithin(4000, 500);
      assert.ok(most <= 1.5 * ratePerSecond * 4 + 5, `${most} requests in 4 s`);
      const least = Math.floor(ratePerSecond * 0.8);
      assert.ok(most >= 4 * least, `${most} requests in 4 s`);
    });
  }
}

test('a gate that starts anew sends few calls before the first answer', () => {
  // Guards against a gate that forgot the limit and fills all slots of a server in need.
  const backend = new LimitedBackend(rateOf(10), 120);
  backend.play(1000, 200, 0, 195);
  const { length } = backend.startedAt;
  assert.ok(length > 0 && length <= PROBE_CALLS, `${length} starts`);
  backend.play(1000, 200, 195, 5000);
  assert.ok(backend.mostWithin(4000, 0) <= 1.5 * 10 * 4 + 5);
});

test('a gate without a limit uses all slots once the first answer has arrived', () => {
  // Guards against probing that lasts longer than the first answer.
  const backend = new LimitedBackend(NONE, 100);
  backend.play(500, 50, 0, 1000);
  assert.ok(backend.startedAt.length > 400, `${backend.startedAt.length} starts`);
});

test('a limit ends with an answer without it', () => {
  // Guards against a server that stays limited after it has recovered.
  const backend = new LimitedBackend(rateOf(10), 100);
  backend.play(200, 50, 0, 3000);
  backend.limit = NONE;
  backend.play(200, 50, 3000, 5000);
  assert.ok(backend.mostWithin(1000, 4000) > 150);
});

test('an answer to a request that was sent before the limit was stated does not end it', () => {
  // Guards against a limit that is lifted by answers that cross on different connections.
  const limited = applyStatement(unprobedLimit, { limit: rateOf(5), sentAt: 100 }, 200);
  assert.equal(applyStatement(limited, { limit: NONE, sentAt: 150 }, 210), limited);
  assert.equal(applyStatement(limited, { limit: NONE, sentAt: 201 }, 300).kind, 'unlimited');
});

test('an unreadable limit leaves the limit in force, and counts as an answer', () => {
  // Guards against lifting or inventing a limit because of a malformed header, and against probing
  // a server for as long as it sends one.
  const unreadable: StatedLimit = { kind: 'unreadable', text: '-3' };
  const limits: readonly StartLimit[] = [
    { kind: 'unlimited' },
    { kind: 'limited', ratePerSecond: 5, statedAt: 1 },
  ];
  limits.forEach((before) => {
    assert.equal(applyStatement(before, { limit: unreadable, sentAt: 2 }, 3), before);
  });
  const answered = applyStatement(unprobedLimit, { limit: unreadable, sentAt: 2 }, 3);
  assert.equal(answered.kind, 'unlimited');
});
