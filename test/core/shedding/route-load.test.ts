import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { GateLoad, MeshOutcome, Rank } from '../../../src/core/exchange/mesh-call.js';
import { openAdmission } from '../../../src/core/shedding/root-admission.js';
import {
  isProtected,
  recordOutcome,
  initialRouteLoad,
  routePressure,
  type RankedAdmission,
  type RouteLoad,
} from '../../../src/core/shedding/route-load.js';

const LOAD: GateLoad = {
  busy: 1,
  limit: 10,
  serviceTimeMs: 50,
  pressure: 0,
  downstreamPressure: 0.8,
  isCold: false,
  isLeaving: false,
};
const DONE: MeshOutcome = { kind: 'answered', status: 200, headers: [], body: new Uint8Array() };
const LOST: MeshOutcome = { ...DONE, status: 500 };
const URGENT: Rank = { isNested: false, accountPriority: 0, routePriority: 0 };
const PLAIN: Rank = { isNested: false, accountPriority: 0, routePriority: 2 };

function loadAfter(outcomes: readonly MeshOutcome[], load = LOAD): RouteLoad {
  return outcomes.reduce(
    (before, outcome, at) => recordOutcome(before, load, outcome, at * 50),
    initialRouteLoad,
  );
}

test('a route without nested calls is not shed for an overloaded service further down', () => {
  // Guards against refusing views because nested calls of lookups to the same service fail.
  const loads = new Map([
    ['look', loadAfter(Array.from({ length: 10 }, () => LOST))],
    ['view', loadAfter(Array.from({ length: 10 }, () => DONE))],
  ]);
  assert.equal(routePressure(loads, 'view', 500), 0);
  assert.ok(routePressure(loads, 'look', 500) > 0.5);
});

test('a server error without downstream pressure does not count as overload', () => {
  // Guards against shedding all requests of a route because of one faulty backend server.
  const noDownstreamPressure = { ...LOAD, downstreamPressure: 0 };
  const loads = new Map([['look', loadAfter([LOST, LOST, LOST, LOST], noDownstreamPressure)]]);
  assert.equal(routePressure(loads, 'look', 200), 0);
});

test('a higher rank is protected while requests of a lower rank are admitted', () => {
  // Guards against refusing orders at the entry while lookups are still admitted.
  const loads = new Map([
    ['order', loadAfter([LOST, LOST])],
    ['look', loadAfter([LOST, LOST])],
  ]);
  const admissionOf = (route: string, rank: Rank, fraction: number): RankedAdmission => ({
    ...openAdmission,
    route,
    rank,
    fraction,
    adjustedAt: 90,
  });
  const order = admissionOf('order', URGENT, 1);
  const open = [order, admissionOf('look', PLAIN, 0.5)];
  assert.equal(isProtected(loads, open, 'order', URGENT, 100), true);
  assert.equal(isProtected(loads, open, 'look', PLAIN, 100), false);
  const closed = [order, admissionOf('look', PLAIN, 0.1)];
  assert.equal(isProtected(loads, closed, 'order', URGENT, 100), false);
});

test('requests shed by a backend server with free slots do not raise the route pressure', () => {
  // Guards against refusing all requests for a service whose servers shed some at random.
  const shed: MeshOutcome = {
    kind: 'refused',
    code: 'serverShed',
    retryAfterMs: 0,
    wasOffered: true,
  };
  const idle = { ...LOAD, downstreamPressure: 0 };
  const pressureAfter = (load: GateLoad): number =>
    routePressure(new Map([['look', loadAfter([shed, shed, shed, shed], load)]]), 'look', 200);
  assert.equal(pressureAfter(idle), 0);
  assert.ok(pressureAfter({ ...idle, pressure: 0.6 }) > 0.3);
});
