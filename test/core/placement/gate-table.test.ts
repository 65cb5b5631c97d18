import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Instance } from '../../../src/core/directory/instance.js';
import { chooseGate } from '../../../src/core/placement/choose-gate.js';
import {
  buildGateTable,
  noGates,
  type ServiceGates,
} from '../../../src/core/placement/gate-table.js';
import { createRandom } from '../../../standin/process.js';

const SERVICES = 4;
const ZONES = ['a', 'b', 'c', 'd'] as const;

/** Hosts of the smallest and largest fleets in use, of the next one, and of the target. */
const FLEETS: readonly number[] = [14, 60, 195, 7400];

/** Reads of directory entries in one choice: probes and scores of both groups of gates. */
const MAX_READS_PER_CHOICE = 120;

function instanceOf(host: number, change: Partial<Instance> = {}): Instance {
  return {
    id: `i-${host}`,
    service: `service-${host % SERVICES}`,
    address: `10.0.${Math.floor(host / 250)}.${host % 250}:80`,
    zone: ZONES[Math.floor(host / SERVICES) % ZONES.length] ?? 'a',
    slots: 10,
    state: 'serving',
    warmUpLeftMs: 0,
    startedAtUnixMs: 1,
    ...change,
  };
}

function idsOf({ local, remote }: ServiceGates): readonly string[] {
  return [...local, ...remote].map(({ id }) => id);
}

test('a service has its serving backend servers in the zones that are in service', () => {
  // Guards against calls to servers that leave, and to zones that are out of service.
  const instances = [
    instanceOf(0),
    instanceOf(4, { state: 'leaving' }),
    instanceOf(8),
    instanceOf(16, { zone: 'a' }),
  ];
  const table = buildGateTable({ instances, zonesOut: new Set(['c']) }, 'a');
  assert.deepEqual(idsOf(table.get('service-0') ?? noGates), ['i-0', 'i-16']);
});

test('an address belongs to the backend server that started there last', () => {
  // Guards against calls to a server whose address another service uses by now.
  const address = '10.0.0.1:80';
  const former = instanceOf(1, { address, startedAtUnixMs: 1 });
  const current = instanceOf(2, { address, startedAtUnixMs: 2 });
  [
    [former, current],
    [current, former],
  ].forEach((instances) => {
    const table = buildGateTable({ instances, zonesOut: new Set() }, 'a');
    assert.equal(table.get('service-1'), undefined);
    assert.deepEqual(idsOf(table.get('service-2') ?? noGates), ['i-2']);
  });
});

FLEETS.forEach((hosts) => {
  // Guards against a price of a call that grows with the fleet.
  test(`a gate is chosen among ${hosts} hosts by a bounded number of directory entries`, () => {
    let reads = 0;
    const counted = (instance: Instance): Instance =>
      new Proxy(instance, {
        get: (target, key) => {
          reads += 1;
          return Reflect.get(target, key);
        },
      });
    const instances = Array.from({ length: hosts }, (_, host) => counted(instanceOf(host)));
    const table = buildGateTable({ instances, zonesOut: new Set() }, 'a');
    const random = createRandom(7);
    for (let choice = 0; choice < 200; choice += 1) {
      reads = 0;
      const chosen = chooseGate({
        gates: table.get('service-1') ?? noGates,
        views: new Map(),
        tried: new Set(),
        isLeaving: ({ id }) => id === 'i-1',
        isReachable: ({ address }) => address !== '10.0.0.5:80',
        expectedServiceTimeMs: 20,
        now: 10,
        random,
      });
      assert.equal(chosen?.instance.service, 'service-1');
      assert.ok(reads <= MAX_READS_PER_CHOICE, `${reads} reads`);
    }
  });
});
