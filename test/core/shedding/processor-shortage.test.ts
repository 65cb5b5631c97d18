import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CallGraph } from './call-graph.js';
import type { CallGraphOptions } from './graph-node.js';
import { CLASS_FLOOR, ORDER_TOLERANCE, SCARCE_FLEET, servedShare } from './scarce-fleet.js';

/** The fleet with processors that are half as slow again; refused callers come back once. */
const SLOW_FLEET: CallGraphOptions = {
  ...SCARCE_FLEET,
  processorMs: 0.6,
  returns: 1,
  lateValue: 0.5,
};

function checkShares(fleet: CallGraphOptions): void {
  const result = new CallGraph(fleet).simulate();
  const shares = new Map(
    fleet.arrivals.map(({ kind }) => [kind, servedShare(result, kind, 2, 12)] as const),
  );
  shares.forEach((share, kind) => assert.ok(share >= CLASS_FLOOR, `${kind}: ${share}`));
  const shareOf = (kind: string): number => shares.get(kind) ?? 0;
  assert.ok(shareOf('refund') >= shareOf('balance') - ORDER_TOLERANCE);
  assert.ok(shareOf('directory') >= shareOf('balance') - ORDER_TOLERANCE);
}

test('a fleet short of processor time serves each class, the important ones first', () => {
  // Guards against requests that wait unread in saturated nodes until their callers give up, and
  // against nested calls of unimportant requests that take the slots of important ones meanwhile.
  checkShares(SCARCE_FLEET);
});

test('a fleet with processors half as slow again still serves each class its floor', () => {
  // Guards against an overload in which the lowest rank gives way until nearly none of it is served.
  checkShares(SLOW_FLEET);
});
