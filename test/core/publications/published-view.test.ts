import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Instant } from '../../../src/core/model/time.js';
import type { Publication } from '../../../src/core/publications/publication.js';
import {
  createViewDecision,
  initialView,
  isSettled,
  publicationsInForce,
  unbrokenTime,
  type PublishedView,
  type ViewEffect,
  type ViewMessage,
} from '../../../src/core/publications/published-view.js';

const KEY = 'servers/i-1';
const ENTRY: Publication = { key: KEY, revision: 3, text: '{}' };
const REMOVED: Publication = { key: KEY, revision: 5, text: null };
const BACK: Publication = { key: KEY, revision: 7, text: '{}' };

const LISTED: ViewMessage = { kind: 'listed', publications: [ENTRY], asOf: 4 };
const LISTED_WITHOUT: ViewMessage = { kind: 'listed', publications: [], asOf: 6 };
const UNCHANGED: ViewMessage = { kind: 'changed', changes: [], asOf: 6 };

/** Instants of the last answer before an outage and of the first one after it. */
const LOST_AT = 10_000;
const REGAINED_AT = 19_000;

/** Time after the return of the store at which all entries are back. */
const HOLD_MS = 2200;

const decide = createViewDecision(() => true);

interface Played {
  readonly view: PublishedView;
  readonly effects: readonly ViewEffect['kind'][];
}

function play(messages: readonly (readonly [Instant, ViewMessage])[], from = initialView): Played {
  let view = from;
  const effects: ViewEffect['kind'][] = [];
  messages.forEach(([now, message]) => {
    const next = decide(view, message, now);
    view = next.state;
    effects.push(...next.effects.map(({ kind }) => kind));
  });
  return { view, effects };
}

function isInForce(view: PublishedView): boolean {
  return (publicationsInForce(view).get(KEY)?.text ?? null) !== null;
}

const beforeOutage = play([
  [LOST_AT - 5000, LISTED],
  [LOST_AT - 3000, UNCHANGED],
  [LOST_AT - 1000, UNCHANGED],
  [LOST_AT, UNCHANGED],
]).view;

const regained = play([[REGAINED_AT, LISTED_WITHOUT]], beforeOutage);

test('a removal that is read after an outage is held, and peers are asked', () => {
  // Guards against servers that are dropped since their entries expired in an outage.
  assert.deepEqual(regained.effects, ['entry-held', 'view-changed', 'ask-peers']);
  assert.ok(isInForce(regained.view));
  assert.deepEqual(play([[REGAINED_AT + 200, { kind: 'peers-due' }]], regained.view).effects, [
    'ask-peers',
  ]);
});

test('a held removal takes effect once a peer had no outage', () => {
  // Guards against requests to a server that left after an outage of one node.
  const { view, effects } = play(
    [[REGAINED_AT + 5, { kind: 'peer-unbroken', unbrokenMs: 60_000 }]],
    regained.view,
  );
  assert.deepEqual(effects, ['entry-released', 'view-changed']);
  assert.ok(!isInForce(view));
});

test('the end of a hold tells why it ended', () => {
  // Guards against a late removal whose cause the log cannot tell.
  const endOf = (at: Instant, message: ViewMessage): unknown =>
    decide(regained.view, message, at).effects.flatMap((effect) =>
      effect.kind === 'entry-released' ? [[effect.end.kind, effect.heldMs]] : [],
    );
  const at = REGAINED_AT + HOLD_MS;
  const back: ViewMessage = { kind: 'changed', changes: [BACK], asOf: 7 };
  assert.deepEqual(endOf(at, { ...UNCHANGED }), [['store-answered', HOLD_MS]]);
  assert.deepEqual(endOf(at, back), [['registered', HOLD_MS]]);
  const unbroken: ViewMessage = { kind: 'peer-unbroken', unbrokenMs: 60_000 };
  assert.deepEqual(endOf(REGAINED_AT + 5, unbroken), [['peer-unbroken', 5]]);
  const settled: ViewMessage = {
    kind: 'peer-changed',
    changes: [REMOVED],
    revision: 6,
    isSettled: true,
  };
  assert.deepEqual(endOf(REGAINED_AT + 5, settled), [['confirmed', 5]]);
});

test('the hold counts from the first answer that any node got after the outage', () => {
  // Guards against a node that holds a removal the longer the later it regained the store itself.
  const backAgoMs = 1500;
  const told = play(
    [[REGAINED_AT + 5, { kind: 'peer-unbroken', unbrokenMs: backAgoMs + 5 }]],
    regained.view,
  );
  assert.ok(isInForce(told.view));
  const early = play([[REGAINED_AT + HOLD_MS - backAgoMs - 10, UNCHANGED]], told.view);
  assert.ok(isInForce(early.view));
  const late = play([[REGAINED_AT + HOLD_MS - backAgoMs, UNCHANGED]], early.view);
  assert.ok(!isInForce(late.view));
});

test('an entry that is back before the answer that ends the hold stays', () => {
  // Guards against a server that is dropped since its renewed entry is read after the hold.
  const { view } = play(
    [[REGAINED_AT + HOLD_MS + 500, { kind: 'changed', changes: [BACK], asOf: 7 }]],
    regained.view,
  );
  assert.ok(isInForce(view));
  assert.equal(view.heldEntries.size, 0);
});

test('a hold does not end without an answer of the store', () => {
  // Guards against entries that are dropped in a second outage, in which they cannot be renewed.
  const { view } = play(
    [[REGAINED_AT + 60_000, { kind: 'peer-unbroken', unbrokenMs: 90_000 }]],
    regained.view,
  );
  assert.ok(isInForce(view));
});

test('a held removal takes effect when a settled peer has read the store since', () => {
  // Guards against a node without the store that keeps an entry which all others have dropped.
  const changes = { changes: [], since: 6, isSettled: true } as const;
  const behind = play(
    [[REGAINED_AT + 100, { ...changes, kind: 'peer-changed', revision: 5 }]],
    regained.view,
  );
  assert.ok(isInForce(behind.view));
  const level = play(
    [[REGAINED_AT + 100, { ...changes, kind: 'peer-changed', revision: 6 }]],
    regained.view,
  );
  assert.ok(!isInForce(level.view));
});

test('a removal from an unsettled peer is held by a node in an outage', () => {
  // Guards against entries that expired and are dropped by nodes which have not read the store yet.
  const changed: ViewMessage = {
    kind: 'peer-changed',
    changes: [REMOVED],
    revision: 5,
    since: 4,
    isSettled: false,
  };
  assert.ok(isInForce(play([[LOST_AT + 5000, changed]], beforeOutage).view));
  assert.ok(!isInForce(play([[LOST_AT + 500, changed]], beforeOutage).view));
});

test('a node vouches for its removals only after some seconds of answers', () => {
  // Guards against a node that started after an outage and makes others drop what had expired.
  const started = play([[REGAINED_AT, LISTED_WITHOUT]]).view;
  assert.ok(!isSettled(started, REGAINED_AT + 100));
  assert.equal(unbrokenTime(started, REGAINED_AT + 100), 100);
  assert.ok(!isSettled(regained.view, REGAINED_AT + 100));
  assert.ok(isSettled(beforeOutage, LOST_AT + 500));
  assert.equal(unbrokenTime(beforeOutage, LOST_AT + 500), 5500);
  assert.ok(!isSettled(beforeOutage, LOST_AT + 3000));
  assert.equal(unbrokenTime(beforeOutage, LOST_AT + 3000), 0);
});

test('a feed counts from the instant at which its sender read the store', () => {
  // Guards against an outage that a follower does not notice, since its reader repeats old answers.
  const { view } = play(
    [
      [
        LOST_AT + 2000,
        { kind: 'fed', ageMs: 2000, changes: [], revision: 6, since: 6, isSettled: false },
      ],
      [LOST_AT + 3000, LISTED_WITHOUT],
    ],
    beforeOutage,
  );
  assert.ok(isInForce(view));
});
