import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Instant, Milliseconds } from '../../../src/core/model/time.js';
import { EventQueue, seededRandom } from '../shedding/event-queue.js';
import { ModelReader } from './model-reader.js';
import { ModelStore } from './model-store.js';

/** Fleets that are drawn. */
const DRAWS = 2000;

const MAX_NODES = 8;

/** Outage of the store; it ends at an instant that no node knows. */
const SILENT_FROM: Instant = 10_000;
const BACK_AT: Instant = 19_000;

/** Time after the return of the store from which all nodes are held to the bound again. */
const TOUCH_MS: Milliseconds = 3000;

/** Time after the removal of an entry in which all nodes have to drop it. */
const DRAIN_MS: Milliseconds = 2000;

/** Entries that expired in the outage are back within this time. */
const RETURN_MS: Milliseconds = 2000;

/** Time for a request on its way: a node drops the entry this long before the bound. */
const SEND_MARGIN_MS: Milliseconds = 50;

const LEAVING = 'servers/leaving';
const EXPIRED = 'servers/expired';

interface Outcome {
  readonly description: string;
  /** Longest time from the removal of the entry until a node dropped it. */
  readonly slowestMs: Milliseconds;
  readonly hasDroppedExpired: boolean;
}

function draw(random: () => number): Outcome {
  const queue = new EventQueue();
  const store = new ModelStore();
  [LEAVING, EXPIRED].forEach((key) => store.change(key, '{}'));
  const count = 1 + Math.floor(random() * MAX_NODES);
  const cut = 1 + Math.floor(random() * count);
  const removedAt = BACK_AT + TOUCH_MS + random() * 1000;
  const isExpired = cut === count;
  const nodes: ModelReader[] = [];
  for (let index = 0; index < count; index += 1) {
    const isServed = (): boolean => index >= cut || queue.now < SILENT_FROM || queue.now >= BACK_AT;
    nodes.push(new ModelReader({ queue, store, random, isServed, peers: () => nodes }));
  }
  nodes.forEach((node) => queue.schedule(random() * 1000, () => node.read()));
  // With a node that the store goes on to answer, an expired entry counts as removed everywhere.
  if (isExpired) {
    queue.schedule(SILENT_FROM + 5000, () => store.change(EXPIRED, null));
    queue.schedule(BACK_AT + random() * RETURN_MS, () => store.change(EXPIRED, '{}'));
  }
  queue.schedule(removedAt, () => store.change(LEAVING, null));
  queue.runUntil(removedAt + 6000);
  const droppedAt = nodes.map((node) => node.droppedAt.get(LEAVING) ?? Number.POSITIVE_INFINITY);
  return {
    description: `${cut} of ${count} nodes cut off, removed ${Math.round(removedAt - BACK_AT)} ms after the return`,
    slowestMs: Math.max(...droppedAt) - removedAt,
    hasDroppedExpired: nodes.some((node) => node.droppedAt.has(EXPIRED)),
  };
}

const outcomes: readonly Outcome[] = (() => {
  const random = seededRandom();
  return Array.from({ length: DRAWS }, () => draw(random));
})();

test('each node drops a server that leaves after an outage of any part of the fleet in time', () => {
  // Guards against requests to servers that have left, from nodes that cannot date an outage.
  const late = outcomes.filter(({ slowestMs }) => slowestMs > DRAIN_MS - SEND_MARGIN_MS);
  const worst = late.map(
    ({ description, slowestMs }) => `${Math.round(slowestMs)} ms: ${description}`,
  );
  assert.equal(late.length, 0, `${late.length} of ${DRAWS}, as ${worst.slice(0, 5).join('; ')}`);
});

test('no node drops an entry that expired in an outage and comes back', () => {
  // Guards against servers that are dropped since they could not renew their entries.
  assert.equal(outcomes.filter(({ hasDroppedExpired }) => hasDroppedExpired).length, 0);
});
