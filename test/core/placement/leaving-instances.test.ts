import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Instance } from '../../../src/core/directory/instance.js';
import {
  addLeavingInstance,
  isLeavingInstance,
} from '../../../src/core/placement/leaving-instances.js';

function run(id: string, startedAtUnixMs: number): Instance {
  return {
    id,
    service: 'stock',
    address: '10.0.0.1:80',
    zone: 'a',
    slots: 10,
    state: 'serving',
    warmUpLeftMs: 0,
    startedAtUnixMs,
  };
}

test('a leaving instance is remembered until it has started anew', () => {
  // Guards against sending requests to a leaving server whose node has forgotten it, and against
  // never using a server again that was started anew under its identifier.
  const leaving = addLeavingInstance(new Map(), run('i-1', 1), 0);
  assert.ok(isLeavingInstance(leaving, run('i-1', 1)));
  assert.ok(!isLeavingInstance(leaving, run('i-1', 2)));
  assert.ok(!isLeavingInstance(leaving, run('i-2', 1)));
  const later = addLeavingInstance(leaving, run('i-2', 1), 1000);
  assert.ok(isLeavingInstance(later, run('i-1', 1)));
});

test('instances that left long ago are forgotten', () => {
  // Guards against a record that grows with each replaced server.
  const leaving = addLeavingInstance(new Map(), run('i-1', 1), 0);
  assert.equal(addLeavingInstance(leaving, run('i-2', 1), 700_000).size, 1);
});
