import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  addNodeReports,
  listSharedLoads,
  mergeSharedLoad,
  noSharedLoads,
  readNodeReports,
  readSharedLoads,
  type NodeRouteReport,
  type ReceivedLoads,
} from '../../../src/core/shedding/load-exchange.js';
import {
  initialRouteLoad,
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

function received(loads: ReturnType<typeof loadAfter>, at: number): ReceivedLoads {
  return { byRoute: new Map(listSharedLoads(loads, at).map((load) => [load.route, load])), at };
}

test('a node that has seen no failure learns of the overload that other nodes met', () => {
  // Guards against entries that admit requests until their own ones have failed.
  const loads = loadAfter(Array.from({ length: 40 }, () => LOST));
  const shared = received(loads, 200);
  const merged = mergeSharedLoad(initialRouteLoad, 'look', shared, 300);
  assert.ok(merged.pressure.value > 0.7);
  assert.equal(merged.downstreamOverloadAt, 195);
});

test('a node whose own requests failed by chance takes the route as calm when all others do', () => {
  // Guards against shedding at one node for the fault of a single backend server.
  const shared = received(loadAfter(Array.from({ length: 40 }, () => CALM)), 200);
  const own: RouteLoad = { pressure: { value: 1, at: 290 }, downstreamOverloadAt: 290 };
  assert.equal(mergeSharedLoad(own, 'look', shared, 300).pressure.value, 0);
});

test('a node decides by its own replies when it hears nothing or only old loads', () => {
  // Guards against shedding, or not, by an old truth after the loss of the aggregating node.
  const own: RouteLoad = { pressure: { value: 0.4, at: 5000 }, downstreamOverloadAt: 4900 };
  const shared = received(loadAfter(Array.from({ length: 40 }, () => LOST)), 200);
  assert.deepEqual(mergeSharedLoad(own, 'look', shared, 5000), own);
  assert.deepEqual(mergeSharedLoad(own, 'look', noSharedLoads, 5000), own);
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
