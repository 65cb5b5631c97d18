import { mkdir, writeFile } from 'node:fs/promises';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { DocumentReader, toDocument } from '../src/core/configuration/document.js';
import { Lookup } from '../src/core/configuration/lookup.js';
import { decideGate } from '../src/core/admission/gate.js';
import { startGate } from '../src/core/admission/gate-state.js';
import { decideMembership, initialMembership } from '../src/core/membership/membership.js';
import type { Call } from '../src/core/model/call.js';
import type { Configuration } from '../src/core/model/configuration.js';
import type { Host } from '../src/core/model/host.js';
import type { PeerMessage } from '../src/core/model/peer-message.js';
import { rankByRendezvous } from '../src/core/routing/rendezvous.js';
import { Deployment } from './deployment.js';
import { fetchText } from './child.js';
import { KELPIE } from './topology.js';
import { decodeFrame, encodeFrame } from '../src/runtime/frame-codec.js';

/** Cost at two sizes, and the slope between them as the cost per unit. */
interface Slope {
  readonly name: string;
  readonly unit: string;
  readonly sizes: readonly [number, number];
  readonly costs: readonly [number, number];
  readonly perUnit: number;
}

const SAMPLE_COUNT = 7;
/** Quota servers grant no tokens in the first 6 s; until then, nodes do more work. */
const MESH_SETTLE_MS = 8000;
const IDLE_PERIOD_MS = 10_000;
const RESULT_FILE = 'bench/results/slopes.json';

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

/** @returns median duration of a run in microseconds, after one warm-up run */
function medianMicroseconds(run: () => void): number {
  run();
  const samples = Array.from({ length: SAMPLE_COUNT }, () => {
    const start = performance.now();
    run();
    return (performance.now() - start) * 1000;
  });
  return median(samples);
}

function measureHeapBytes(build: () => unknown): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const retained = build();
  globalThis.gc?.();
  const after = process.memoryUsage().heapUsed;
  return retained === undefined ? 0 : after - before;
}

function measureSlope(
  name: string,
  unit: string,
  sizes: readonly [number, number],
  cost: (size: number) => number,
): Slope {
  const costs = [cost(sizes[0]), cost(sizes[1])] as const;
  const perUnit = (costs[1] - costs[0]) / (sizes[1] - sizes[0]);
  return { name, unit, sizes, costs, perUnit };
}

function createHosts(count: number, zones: number): readonly Host[] {
  return Array.from({ length: count }, (_, index) => ({
    backendServer: `service-${index % 600}-server-${index}`,
    service: `service-${index % 600}`,
    zone: `zone-${index % zones}`,
    peerAddress: `10.1.${index % 250}.7:9080`,
    state: 'live',
  }));
}

/** A configuration in which a twelfth of the entries are services. */
function createConfiguration(entries: number): Configuration {
  const services = Array.from(
    { length: Math.ceil(entries / 12) },
    (_, index) => `service-${index}`,
  );
  const zones = Array.from({ length: 15 }, (_, index) => `zone-${index}`);
  const serverCount = entries - 2 * services.length - zones.length;
  return {
    revision: 1,
    seats: ['server-0'],
    zones: zones.map((name, index) => ({ name, region: `region-${index % 5}`, state: 'in' })),
    services: services.map((name) => ({ name })),
    backendServers: Array.from({ length: serverCount }, (_, index) => ({
      name: `server-${index}`,
      service: services[index % services.length] ?? '',
      zone: zones[index % zones.length] ?? '',
      slots: 100,
      connections: 500,
      coldCapacity: 10,
    })),
    accounts: [],
    routes: services.map((service) => ({
      name: `read-${service}`,
      service,
      method: 'GET',
      path: '/items/*',
      importance: 'normal',
      idempotent: true,
      access: 'open',
      deadlineMs: 1000,
      retries: 2,
    })),
  };
}

function createCall(id: number): Call {
  return {
    requestId: `server-1-0mxg8v6thcedbe53ad-${id}.1`,
    rootId: `server-1-0mxg8v6thcedbe53ad-${id}`,
    rootHash: (id % 997) / 997,
    caller: { kind: 'account', account: `account-${id % 8}` },
    service: 'service-1',
    route: 'read-service-1',
    importance: 'normal',
    idempotent: true,
    depth: 0,
    retries: 1,
    deadline: 1e9,
    startBy: 1e9,
    fingerprint: `fingerprint-of-the-request-${id}`,
    method: 'GET',
    path: '/items/1',
    headers: [
      ['accept', 'application/json'],
      ['user-agent', 'slopes'],
    ],
    body: new Uint8Array(200),
  };
}

function createMembership(count: number) {
  const options = { node: 'service-1-server-1', zone: 'zone-1', seeds: [], random: () => 0.5 };
  const zones = 15;
  return Array.from({ length: zones }, (_, index) => `zone-${index}`).reduce((state, zone) => {
    const hosts = createHosts(count, zones).filter((host) => host.zone === zone);
    return decideMembership(state, { kind: 'hosts-listed', zone, hosts }, 0).state;
  }, initialMembership(options));
}

function measureHostListUpdate(count: number): number {
  const state = [1, 2, 3].reduce(
    (before, index) =>
      decideMembership(before, { kind: 'service-used', service: `service-${index}` }, 0).state,
    createMembership(count),
  );
  const hosts = createHosts(count, 15).filter((host) => host.zone === 'zone-2');
  return medianMicroseconds(() => {
    decideMembership(state, { kind: 'hosts-listed', zone: 'zone-2', hosts }, 1);
  });
}

function measureEntryChange(entries: number): number {
  const configuration = createConfiguration(entries);
  const reader = new DocumentReader();
  reader.read(toDocument(configuration));
  const changed = toDocument({ ...configuration, revision: 2, seats: ['server-1'] });
  return medianMicroseconds(() => {
    reader.read(changed).map((read) => new Lookup(read));
  });
}

function measureGateDecisions(count: number): number {
  return medianMicroseconds(() => {
    const backendServer = {
      name: 'server-1',
      service: 'service-1',
      zone: 'zone-1',
      slots: 100,
      connections: 500,
      coldCapacity: 100,
    };
    const outcome = { kind: 'answered', status: 200, headers: [], body: new Uint8Array() } as const;
    Array.from({ length: count }, (_, index) => createCall(index)).reduce(
      (state, call, index) => {
        const arrived = decideGate(state, { kind: 'arrived', call }, index).state;
        const end = { kind: 'answered', outcome } as const;
        const { requestId } = call;
        return decideGate(arrived, { kind: 'ended', requestId, end, ownLatencyMs: 5 }, index).state;
      },
      startGate({ backendServer, state: 'serving', now: 0 }),
    );
  });
}

function measureCallCodec(count: number): number {
  return medianMicroseconds(() => {
    Array.from({ length: count }, (_, index) => createCall(index)).forEach((call) => {
      decodeFrame(encodeFrame({ kind: 'call', call })).unwrapOr(null);
    });
  });
}

const MESSAGES: readonly PeerMessage[] = [
  {
    kind: 'ping',
    sentAt: 123456.789,
    serviceAgeMs: 1234.5,
    heads: ['configuration', 'hosts/zone-1', 'hosts/zone-2'].map((name) => ({
      topic: name as 'configuration',
      version: 12345,
      digest: 'a'.repeat(64),
    })),
  },
  { kind: 'pong', echoedSentAt: 123456.789, receivedAt: 123456.789 },
  { kind: 'draw', drawId: 123456789, account: 'account-12', want: 3, isAhead: true },
  {
    kind: 'grant',
    drawId: 123456789,
    account: 'account-12',
    tokens: 3,
    retryAfterMs: 0,
    isFinal: false,
  },
  { kind: 'settlement', drawId: 123456789, account: 'account-12', spent: 2, returned: 1 },
  {
    kind: 'delta',
    delta: {
      topic: 'configuration',
      fromDigest: 'a'.repeat(64),
      version: 12345,
      digest: 'b'.repeat(64),
      changed: new Map([
        ['accounts/account-12', JSON.stringify(createConfiguration(100).routes[0])],
      ]),
      removed: [],
    },
  },
  { kind: 'call', call: createCall(1) },
];

function measureSlopes(): readonly Slope[] {
  return [
    measureSlope('apply a change of one entry, per entry', 'µs', [1000, 9000], measureEntryChange),
    measureSlope('memory of the configuration, per entry', 'bytes', [1000, 9000], (entries) =>
      measureHeapBytes(() => {
        const document = toDocument(createConfiguration(entries));
        const reader = new DocumentReader();
        return [document, reader, reader.read(document).map((read) => new Lookup(read))];
      }),
    ),
    measureSlope(
      'take over a host list, per host of the fleet',
      'µs',
      [1000, 7400],
      measureHostListUpdate,
    ),
    measureSlope('memory of the host list, per host', 'bytes', [1000, 7400], (count) =>
      measureHeapBytes(() => createMembership(count)),
    ),
    measureSlope('rank by rendezvous, per name', 'µs', [100, 1000], (count) => {
      const names = createHosts(count, 1).map(({ backendServer }) => backendServer);
      return medianMicroseconds(() => {
        rankByRendezvous('key', names);
      });
    }),
    measureSlope('gate decisions, per call', 'µs', [1000, 5000], measureGateDecisions),
    measureSlope('encode and decode a call, per call', 'µs', [1000, 5000], measureCallCodec),
  ];
}

interface NodeSample {
  readonly cpuS: number;
  readonly controlBytes: number;
  readonly links: number;
  readonly residentBytes: number;
}

async function sampleNode(url: string): Promise<NodeSample> {
  const text = await fetchText(`${url}/metrics`);
  const sum = (pattern: RegExp): number =>
    [...text.matchAll(pattern)].reduce((total, [, value]) => total + Number(value), 0);
  return {
    cpuS: sum(/^process_cpu_seconds_total (\S+)/gm),
    controlBytes: sum(/^almondhoist_peer_bytes_total\{[^}]*purpose="control"[^}]*\} (\S+)/gm),
    links: sum(/^almondhoist_links (\S+)/gm),
    residentBytes: sum(/^process_resident_memory_bytes (\S+)/gm),
  };
}

/** Measures the mean cost per second of a node in an idle mesh; links and memory at the end. */
async function measureIdleMesh(zones: number): Promise<NodeSample> {
  const topology = { ...KELPIE, zones: KELPIE.zones.slice(0, zones) };
  const deployment = new Deployment(topology, 'almondhoist', 1);
  try {
    await deployment.start();
    await sleep(MESH_SETTLE_MS);
    const before = await Promise.all(deployment.metricsUrls.map(sampleNode));
    await sleep(IDLE_PERIOD_MS);
    const after = await Promise.all(deployment.metricsUrls.map(sampleNode));
    const mean = (pick: (sample: NodeSample) => number, samples: readonly NodeSample[]): number =>
      samples.reduce((total, sample) => total + pick(sample), 0) / samples.length;
    const growthPerSecond = (pick: (sample: NodeSample) => number): number =>
      ((mean(pick, after) - mean(pick, before)) * 1000) / IDLE_PERIOD_MS;
    return {
      cpuS: growthPerSecond(({ cpuS }) => cpuS),
      controlBytes: growthPerSecond(({ controlBytes }) => controlBytes),
      links: mean(({ links }) => links, after),
      residentBytes: mean(({ residentBytes }) => residentBytes, after),
    };
  } finally {
    await deployment.stop();
  }
}

function printSlopes(slopes: readonly Slope[]): void {
  slopes.forEach(({ name, unit, perUnit, sizes, costs }) => {
    const points = sizes.map((size, index) => `${size}: ${costs[index]?.toFixed(0)}`).join(', ');
    console.log(`${name}: ${perUnit.toFixed(3)} ${unit} (${points})`);
  });
  MESSAGES.forEach((message) => {
    console.log(`bytes of ${message.kind}: ${encodeFrame(message).length}`);
  });
}

const slopes = measureSlopes();
printSlopes(slopes);
const idle = [await measureIdleMesh(2), await measureIdleMesh(3)];
idle.forEach(({ cpuS, controlBytes, links, residentBytes }) => {
  console.log(
    `idle node with ${links.toFixed(1)} links: ${(cpuS * 100).toFixed(2)}% of a core, ` +
      `${controlBytes.toFixed(0)} control bytes/s both ways, ` +
      `${(residentBytes / 1_048_576).toFixed(0)} MiB resident`,
  );
});
await mkdir('bench/results', { recursive: true });
await writeFile(RESULT_FILE, `${JSON.stringify({ slopes, idle }, null, 2)}\n`);
