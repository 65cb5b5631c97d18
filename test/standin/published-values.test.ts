import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  READ_LIMIT_PER_S,
  decideService,
  NO_PUBLISHED_VALUES,
} from '../../standin/published-values.js';
import type { ServiceControl, ServiceMessage } from '../../standin/published-values.js';

function replay(messages: readonly ServiceMessage[], now = 0) {
  return messages.reduce(({ state }, message) => decideService(state, message, now), {
    state: NO_PUBLISHED_VALUES,
    effects: [],
  } as ReturnType<typeof decideService>);
}

function control(request: ServiceControl): ServiceMessage {
  return { kind: 'control', control: request };
}

function publish(text: string, name = 'configuration/manifest'): ServiceMessage {
  return control({ kind: 'publish', name, text });
}

const read = { kind: 'read', id: 1, name: 'configuration/manifest' } as const;
const watch = { ...read, kind: 'watch', after: '', waitMs: 500 } as const;

function textOf({ effects }: ReturnType<typeof replay>): string | undefined {
  const [first] = effects;
  return first?.kind === 'answer' && first.answer.kind === 'value'
    ? first.answer.value.text
    : undefined;
}

test('a pending watch is answered by the next publication or when its wait time ends', () => {
  // Guards against watches that miss a change or never end.
  assert.equal(textOf(replay([watch, publish('a')])), 'a');
  const ended = replay([watch, { kind: 'watch-end', id: 1 }]);
  assert.deepEqual(ended.effects, [{ kind: 'answer', id: 1, answer: { kind: 'unchanged' } }]);
});

test('a stale service serves the version before the current one', () => {
  // Guards against a stale scenario in which readers still get the current version.
  const enableStale = control({ kind: 'stale', enabled: true });
  assert.equal(textOf(replay([publish('a'), publish('b'), enableStale, read])), 'a');
});

test('reads above the limit per second are refused', () => {
  // Guards against designs that depend on an unlimited number of reads.
  const reads = Array.from({ length: READ_LIMIT_PER_S + 1 }, () => read);
  const { state, effects } = replay(reads);
  assert.deepEqual(effects, [{ kind: 'answer', id: 1, answer: { kind: 'too-many-reads' } }]);
  assert.equal(decideService(state, read, 1000).state.refusedReads, 1);
});

test('a host lag delays the publication of host lists but not of the configuration', () => {
  // Guards against a lag setting that also delays the configuration.
  const enableLag = control({ kind: 'lag-hosts', lagMs: 300 });
  assert.equal(replay([enableLag, publish('a', 'hosts/z1')]).effects[0]?.kind, 'schedule');
  assert.equal(textOf(replay([enableLag, publish('a'), read])), 'a');
});

test('an outage ends pending watches without an answer', () => {
  // Guards against watches that stay pending during an outage of the service.
  const enableOutage = control({ kind: 'down', enabled: true });
  assert.deepEqual(replay([watch, enableOutage]).effects, [
    { kind: 'answer', id: 1, answer: { kind: 'down' } },
  ]);
});
