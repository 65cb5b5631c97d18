import assert from 'node:assert/strict';
import { test } from 'node:test';
import { err, ok } from 'neverthrow';
import type { Document } from '../../../src/core/model/document.js';
import { applyDelta, diffDocuments } from '../../../src/core/gossip/delta.js';
import {
  decideGossip,
  listHeartbeatHeads,
  initialGossip,
  type GossipState,
} from '../../../src/core/gossip/gossip.js';
import type { GossipEffect, GossipMessage } from '../../../src/core/gossip/gossip-message.js';
import { configurationOf } from './gossip-driver.js';

const options = {
  node: 'dispatch-1',
  zone: 'zone-1',
  random: () => 0.5,
  check: (document: Document) => (document.version === 66 ? err([]) : ok(undefined)),
};

function runMessages(
  messages: readonly (readonly [now: number, message: GossipMessage])[],
): readonly GossipEffect[] {
  const decide = decideGossip(options);
  let state: GossipState = initialGossip(options);
  return messages.flatMap(([now, message]) => {
    const next = decide(state, message, now);
    state = next.state;
    return next.effects;
  });
}

function headsFrom(peer: string, document: Document): GossipMessage {
  return { kind: 'heads-received', peer, heads: [document], serviceAgeMs: 100 };
}

const kindsOf = (effects: readonly GossipEffect[]) => effects.map((effect) => effect.kind);

test('a delta produces the newer document, and a delta with a wrong digest is refused', () => {
  // Guards against a mixture of two versions in force.
  const delta = diffDocuments(configurationOf(1), configurationOf(2));
  assert.deepEqual([...delta.changed.keys()], ['accounts/paisley']);
  assert.deepEqual(applyDelta(configurationOf(1), delta), ok(configurationOf(2)));
  const damaged = { ...delta, changed: new Map([['accounts/paisley', '"other"']]) };
  assert.deepEqual(applyDelta(configurationOf(1), damaged), err('peerFrameInvalid'));
  assert.deepEqual(applyDelta(configurationOf(3), delta), err('peerFrameInvalid'));
});

test('a starting node is not ready with a stale value while a peer has a higher revision', () => {
  // Guards against a withdrawn key that works again after a restart with a stale service.
  const messages = [
    [0, { kind: 'tick' }],
    [5, { kind: 'service-value', document: configurationOf(1) }],
    [10, { kind: 'neighbours-changed', neighbours: ['dispatch-2'] }],
    [250, { kind: 'tick' }],
    [300, headsFrom('dispatch-2', configurationOf(3))],
    [350, { kind: 'tick' }],
  ] as const;
  assert.ok(!kindsOf(runMessages(messages)).includes('ready'));
  const document = configurationOf(3);
  const effects = runMessages([
    ...messages,
    [360, { kind: 'document-received', peer: 'dispatch-2', document }],
  ]);
  assert.deepEqual(kindsOf(effects).slice(-2), ['apply', 'ready']);
});

test('a node is not ready without a configuration, and ready with its first document', () => {
  // Guards against a node that serves without any configuration.
  const nothing = [0, 1500, 3000].map((now) => [now, { kind: 'tick' }] as const);
  assert.ok(!kindsOf(runMessages(nothing)).includes('ready'));
  const value = [4000, { kind: 'service-value', document: configurationOf(1) }] as const;
  assert.ok(kindsOf(runMessages([...nothing, value])).includes('ready'));
});

test('a rejected document is reported once and not pulled again', () => {
  // Guards against a fleet that pulls a rejected revision at every heartbeat.
  const bad = configurationOf(66);
  const effects = runMessages([
    [0, { kind: 'service-value', document: bad }],
    [100, headsFrom('dispatch-2', bad)],
    [200, headsFrom('dispatch-3', bad)],
    [300, { kind: 'document-received', peer: 'dispatch-2', document: bad }],
  ]);
  assert.deepEqual(kindsOf(effects), ['rejected']);
});

test('a different document with the version in force is reported and not applied', () => {
  // Guards against nodes that exchange two documents of one version without end.
  const effects = runMessages([
    [0, { kind: 'service-value', document: configurationOf(5) }],
    [100, headsFrom('dispatch-2', configurationOf(5, 'other'))],
    [200, { kind: 'document-received', peer: 'dispatch-2', document: configurationOf(5, 'other') }],
  ]);
  assert.deepEqual(kindsOf(effects), ['apply', 'rejected']);
});

test('a document with a wrong digest is not applied, and the intact document still is', () => {
  // Guards against a damaged document that blocks the intact document with the same digest.
  const damaged = { ...configurationOf(2), entries: new Map([['accounts/paisley', '"x"']]) };
  const effects = runMessages([
    [0, { kind: 'document-received', peer: 'dispatch-2', document: damaged }],
    [10, { kind: 'document-received', peer: 'dispatch-3', document: configurationOf(2) }],
  ]);
  assert.deepEqual(kindsOf(effects), ['rejected', 'apply']);
});

test('a heartbeat carries at most three heads and rotates through all host lists', () => {
  // Guards against heartbeats that grow with the number of zones.
  const decide = decideGossip(options);
  let state = initialGossip(options);
  const topics = Array.from({ length: 20 }, (_, index) => `hosts/z${index}` as const);
  topics.forEach((topic) => {
    const document = { ...configurationOf(1), topic };
    state = decide(state, { kind: 'document-received', peer: 'dispatch-2', document }, 0).state;
  });
  const seen = new Set<string>();
  for (let tick = 1; tick <= 100; tick += 1) {
    state = decide(state, { kind: 'tick' }, tick * 100).state;
    const told = listHeartbeatHeads(state);
    assert.ok(told.length <= 3 && told[0]?.topic === 'configuration');
    told.forEach((head) => seen.add(head.topic));
  }
  assert.equal(seen.size, topics.length + 1);
});

test('watchers retry within a second during an outage, and other nodes back off to 30 s', () => {
  // Guards against a fleet that floods a failed configuration service, and against watchers that
  // detect its recovery too late.
  const readsWith = (others: number): number => {
    const decide = decideGossip(options);
    const names = Array.from({ length: others }, (_, index) => `dispatch-${index + 2}`);
    const hosts = [...names, options.node].map((backendServer) => ({
      backendServer,
      service: 'dispatch',
      zone: options.zone,
      peerAddress: '127.0.0.1:7000',
      state: 'live' as const,
    }));
    let { state } = decide(initialGossip(options), { kind: 'hosts-changed', hosts }, 0);
    let reads = 0;
    for (let now = 0; now < 600_000; now += 100) {
      const ticked = decide(state, { kind: 'tick' }, now);
      state = ticked.state;
      for (const effect of ticked.effects) {
        if (effect.kind !== 'read-service' && effect.kind !== 'watch-service') continue;
        if (effect.topic === 'configuration') reads += 1;
        state = decide(state, { kind: 'service-failed', topic: effect.topic }, now).state;
      }
    }
    return reads;
  };
  const alone = readsWith(0);
  assert.ok(alone >= 500 && alone <= 1300, `${alone} reads of a watcher in 600 s`);
  const reader = readsWith(200);
  assert.ok(reader >= 15 && reader <= 40, `${reader} reads of another node in 600 s`);
});

test('the number of topics is limited when a peer announces host lists of unknown zones', () => {
  // Guards against memory and pulls that grow with the topics announced by a faulty peer.
  const documents = Array.from({ length: 100 }, (_, index) => ({
    ...configurationOf(1),
    topic: `hosts/invented${index}` as const,
  }));
  const told = documents.map((document) => [0, headsFrom('dispatch-2', document)] as const);
  assert.equal(runMessages(told).length, 62);
  const sent = documents.map(
    (document) => [0, { kind: 'document-received', peer: 'dispatch-2', document }] as const,
  );
  assert.equal(runMessages(sent).length, 62);
});
