import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { GateLoad, MeshOutcome, Rank } from '../../../src/core/exchange/mesh-call.js';
import { openAdmission } from '../../../src/core/shedding/root-admission.js';
import {
  LEAST_SHARE,
  recordOutcome,
  initialRouteLoad,
  overloadDuty,
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

function admissionOf(route: string, rank: Rank, fraction: number): RankedAdmission {
  return { ...openAdmission, route, rank, fraction, adjustedAt: 90 };
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
  const order = admissionOf('order', URGENT, 1);
  const look = admissionOf('look', PLAIN, 0.5);
  assert.equal(overloadDuty(loads, [order, look], order, 100).isSpared, true);
  assert.equal(overloadDuty(loads, [order, look], look, 100).isSpared, false);
  const closed = admissionOf('look', PLAIN, 0.1);
  assert.equal(overloadDuty(loads, [order, closed], order, 100).isSpared, false);
});

test('a rank at its least share keeps it until the ranks above are down to theirs', () => {
  // Guards against an overload in which lookups give way alone until next to none is admitted.
  const loads = new Map([
    ['order', loadAfter([LOST, LOST])],
    ['look', loadAfter([LOST, LOST])],
  ]);
  const look = admissionOf('look', PLAIN, LEAST_SHARE);
  const order = admissionOf('order', URGENT, 0.8);
  assert.equal(overloadDuty(loads, [order, look], look, 100).isSpared, true);
  // Orders give way at the pressure at which lookups would.
  assert.deepEqual(overloadDuty(loads, [order, look], order, 100), {
    thresholdRank: PLAIN,
    isSpared: false,
    isDownstream: true,
  });
  const low = admissionOf('order', URGENT, LEAST_SHARE);
  assert.equal(overloadDuty(loads, [low, look], look, 100).isSpared, false);
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
