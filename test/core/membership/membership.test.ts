import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Host } from '../../../src/core/model/host.js';
import {
  listCandidates,
  decideMembership,
  initialMembership,
  isIsolated,
  type MembershipState,
} from '../../../src/core/membership/membership.js';
import type {
  MembershipEffect,
  MembershipMessage,
} from '../../../src/core/membership/membership-message.js';

const ZONES = ['a', 'b', 'c', 'd'];

function hostsOf(zone: string, count: number): readonly Host[] {
  return Array.from({ length: count }, (_, index) => ({
    backendServer: `stockroom-${zone}${index}`,
    service: 'stockroom',
    zone,
    peerAddress: `127.0.0.1:${zone.charCodeAt(0)}${index}`,
    state: 'live' as const,
  }));
}

const zonesIn: MembershipMessage = {
  kind: 'zones-configured',
  zones: ZONES.map((name) => ({ name, region: 'scotland', state: 'in' })),
};

/** A membership whose connection attempts succeed at once, except to peers that are down. */
class Node {
  state: MembershipState;

  now = 0;

  readonly effects: MembershipEffect[] = [];

  readonly down = new Set<string>();

  constructor(seeds: readonly string[] = []) {
    this.state = initialMembership({ node: 'stockroom-a0', zone: 'a', seeds, random: () => 0.5 });
  }

  send(message: MembershipMessage): void {
    const { state, effects } = decideMembership(this.state, message, this.now);
    this.state = state;
    this.effects.push(...effects);
    effects.forEach((effect) => {
      if (effect.kind !== 'connect') return;
      const kind = this.down.has(effect.peer) ? 'link-closed' : 'link-opened';
      this.send({ kind, peer: effect.peer });
    });
  }

  run(untilMs: number): void {
    while (this.now < untilMs) {
      this.now += 100;
      this.send({ kind: 'tick' });
    }
  }

  listHosts(count: number): void {
    this.send(zonesIn);
    ZONES.forEach((zone) => this.send({ kind: 'hosts-listed', zone, hosts: hostsOf(zone, count) }));
  }

  countConnects(peer?: string): number {
    return this.effects.filter(
      (effect) => effect.kind === 'connect' && (peer === undefined || effect.peer === peer),
    ).length;
  }

  candidates(): readonly string[] {
    return listCandidates(this.state, 'stockroom', this.now).map(
      ({ backendServer }) => backendServer,
    );
  }
}

test('the number of links of a node does not grow with the fleet', () => {
  // Guards against a full mesh at 7,400 hosts.
  const node = new Node();
  node.listHosts(500);
  node.send({ kind: 'service-used', service: 'stockroom' });
  node.run(1000);
  const neighbours = node.effects.filter((effect) => effect.kind === 'neighbours-changed').at(-1);
  assert.ok(neighbours?.kind === 'neighbours-changed' && neighbours.neighbours.length <= 16);
  assert.equal(node.candidates().length, 10);
  assert.ok(node.candidates().some((name) => !name.startsWith('stockroom-a')));
  // Host lists arrive zone by zone; links chosen before the last list stay open until idle.
  node.run(50_000);
  node.send({ kind: 'service-used', service: 'stockroom' });
  node.run(70_000);
  const open = node.state.links.filter((link) => link.state === 'open').size;
  assert.ok(open <= 14, `${open} links`);
});

test('unreachable neighbours are replaced by reachable peers', () => {
  // Guards against a node that stays isolated because its host list names dead hosts.
  const node = new Node();
  hostsOf('a', 500)
    .slice(0, 400)
    .forEach((host) => node.down.add(host.backendServer));
  node.listHosts(500);
  node.run(20_000);
  const own = node.state.plan.neighbours.filter((name) => name.startsWith('stockroom-a'));
  assert.equal(own.length, 3);
  assert.ok(own.every((name) => !node.down.has(name)));
});

test('the reconnect backoff limits attempts to a dead peer', () => {
  // Guards against a flood of connection attempts, and against a backoff that stops the attempts.
  const node = new Node();
  const peer = hostsOf('a', 2)[1]?.backendServer ?? '';
  node.down.add(peer);
  node.listHosts(2);
  node.run(20_000);
  const before = node.countConnects(peer);
  node.run(40_000);
  assert.ok(
    node.countConnects(peer) - before <= 20,
    `${node.countConnects(peer) - before} attempts in 20 s`,
  );
  assert.ok(node.countConnects(peer) - before >= 8);
});

test('leaving hosts, hosts without open link and hosts of a zone out are no candidates', () => {
  // Guards against new work for a leaving server or for a zone that operators took out of service.
  const node = new Node();
  node.listHosts(2);
  node.send({ kind: 'service-used', service: 'stockroom' });
  assert.equal(node.candidates().length, 8);
  const [gone, leaving, full] = ['stockroom-b0', 'stockroom-c0', 'stockroom-c1'];
  node.down.add(gone ?? '');
  node.send({ kind: 'link-closed', peer: gone ?? '' });
  node.send({ kind: 'peer-leaving', peer: leaving ?? '', forMs: 5000 });
  const load = { state: 'zone-out', running: 0, queued: 0, limit: 1 } as const;
  node.send({ kind: 'load-received', peer: full ?? '', load, refused: true });
  const zones = ZONES.map((name) => ({
    name,
    region: 'scotland',
    state: name === 'd' ? ('out' as const) : ('in' as const),
  }));
  node.send({ kind: 'zones-configured', zones });
  assert.deepEqual([...node.candidates()].sort(), ['stockroom-a0', 'stockroom-a1', 'stockroom-b1']);
  node.run(10_000);
  assert.ok(node.candidates().includes(leaving ?? ''));
});

test('an idle link is closed by the node that opened it, not by its peer', () => {
  // Guards against links that flap because one side closes them and the other side reopens them.
  const node = new Node();
  node.listHosts(500);
  const peer = 'stockroom-b77';
  node.send({ kind: 'link-opened', peer });
  node.send({ kind: 'service-used', service: 'stockroom' });
  node.run(200_000);
  const closed = node.effects.filter((effect) => effect.kind === 'disconnect');
  assert.ok(closed.length > 0);
  assert.ok(closed.every((effect) => effect.kind === 'disconnect' && effect.peer !== peer));
  assert.equal(
    node.countConnects(),
    new Set(node.effects.flatMap((effect) => (effect.kind === 'connect' ? [effect.peer] : [])))
      .size,
  );
});

test('seeds are tried while no link is open, and a seed is resolved to its host name', () => {
  // Guards against a node that starts without a host list and stays isolated.
  const node = new Node(['127.0.0.1:7001']);
  node.down.add('127.0.0.1:7001');
  node.run(3000);
  assert.ok(node.countConnects('127.0.0.1:7001') > 2);
  node.send({ kind: 'link-opened', peer: 'stockroom-b0', address: '127.0.0.1:7001' });
  const before = node.countConnects();
  node.run(10_000);
  assert.equal(node.countConnects(), before);
  assert.deepEqual([...node.state.links.keys()], ['stockroom-b0']);
});

test('a node is isolated when no peer frame has arrived within the limit', () => {
  // Guards against a partitioned node that keeps accepting withdrawn keys.
  const node = new Node();
  node.listHosts(2);
  node.send({ kind: 'frame-received', peer: 'stockroom-b0' });
  assert.ok(!isIsolated(node.state, 4999, 5000));
  assert.ok(isIsolated(node.state, 5000, 5000));
});
