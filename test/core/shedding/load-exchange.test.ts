import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { currentPressure } from '../../../src/core/shedding/smoothed-pressure.js';
import {
  addNodeReports,
  applySharedLoad,
  listSharedLoads,
  readNodeReports,
  readSharedLoads,
  type NodeRouteReport,
} from '../../../src/core/shedding/load-exchange.js';
import {
  initialRouteLoad,
  recordReport,
  type RouteLoad,
  type RouteLoads,
} from '../../../src/core/shedding/route-load.js';

const CALM: NodeRouteReport = { route: 'look', pressure: 0, fullPressure: 0, hasLostCalls: false };
const LOST: NodeRouteReport = { ...CALM, fullPressure: 0.9, hasLostCalls: true };

/** Load after reports of many nodes, each with one reply in a quarter of a second. */
function loadAfter(reports: readonly NodeRouteReport[]) {
  return reports.reduce(
    (loads, report, at) => addNodeReports(loads, [report], at * 5),
    new Map() as RouteLoads,
  );
}

/** Load of a node that has just received the loads over all nodes. */
function applied(own: RouteLoad, reports: readonly NodeRouteReport[], now: number): RouteLoad {
  const shared = listSharedLoads(loadAfter(reports), now).find(({ route }) => route === 'look');
  return applySharedLoad(own, shared, now);
}

test('a node that has seen no failure learns of the overload that other nodes met', () => {
  // Guards against entries that admit requests until their own ones have failed.
  const load = applied(
    initialRouteLoad,
    Array.from({ length: 40 }, () => LOST),
    200,
  );
  assert.ok(load.pressure.value > 0.7);
  assert.equal(load.downstreamOverloadAt, 195);
});

test('a node whose own requests failed by chance takes the route as calm when all others do', () => {
  // Guards against shedding at one node for the fault of a single backend server.
  const own: RouteLoad = { pressure: { value: 1, at: 190 }, downstreamOverloadAt: 190 };
  const load = applied(
    own,
    Array.from({ length: 40 }, () => CALM),
    200,
  );
  assert.equal(load.pressure.value, 0);
});

test('shared pressure that is not renewed decays like that of the own replies', () => {
  // Guards against requests that are refused by an old truth after the loss of the aggregating node.
  const load = applied(
    initialRouteLoad,
    Array.from({ length: 40 }, () => LOST),
    200,
  );
  assert.ok(currentPressure(load.pressure, 1200) < 0.1);
});

test('own replies without pressure end a shared one', () => {
  // Guards against requests that are refused although the overload has just ended here.
  const shared = applied(
    initialRouteLoad,
    Array.from({ length: 40 }, () => LOST),
    200,
  );
  const after = Array.from({ length: 10 }).reduce<RouteLoad>(
    (load, _, at) => recordReport(load, CALM, 200 + (at + 1) * 25),
    shared,
  );
  assert.ok(currentPressure(after.pressure, 450) < 0.3);
});

test('the aggregating node forgets routes that are calm', () => {
  // Guards against memory that grows with each name that a faulty node sends.
  const named = Array.from({ length: 500 }, (_, at) => ({ ...CALM, route: `r${at}`, pressure: 1 }));
  const loads = addNodeReports(new Map(), named, 0);
  assert.equal(loads.size, 500);
  assert.equal(addNodeReports(loads, [LOST], 10_000).size, 1);
});

test('whatever another node sends, only well-formed loads are believed', () => {
  // Guards against a node of another version, or a faulty one, that stops or opens the whole fleet.
  fc.assert(
    fc.property(fc.jsonValue(), (value) => {
      readNodeReports(value).forEach(({ pressure, fullPressure }) => {
        assert.ok(pressure >= 0 && pressure <= 1 && fullPressure >= 0 && fullPressure <= 1);
      });
      readSharedLoads(value);
    }),
    { seed: 20261205, numRuns: 500 },
  );
  const odd: readonly unknown[] = [
    null,
    { ...LOST, pressure: 7 },
    { ...LOST, pressure: Number.NaN },
    { ...LOST, fullPressure: -1 },
    { ...LOST, route: 'r'.repeat(10_000) },
    { ...LOST, hasLostCalls: 1 },
    LOST,
  ];
  assert.deepEqual(readNodeReports(odd), [LOST]);
  assert.deepEqual(readNodeReports(Array.from({ length: 100_000 }, () => LOST)), []);
  const future = { route: 'look', pressure: 1, overloadAgeMs: -5000 };
  assert.deepEqual(readSharedLoads([future, { ...future, overloadAgeMs: 5 }]), [
    { ...future, overloadAgeMs: 5 },
  ]);
});
