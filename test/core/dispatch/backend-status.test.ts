import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  decideBackendStatus,
  initialBackendStatus,
  type BackendStatus,
  type BackendEffect,
  type BackendObservation,
} from '../../../src/core/dispatch/backend-status.js';

/** Plays observations, each with its instant, and collects what follows from them. */
function observeAll(
  observations: readonly (readonly [number, BackendObservation])[],
  from: BackendStatus = initialBackendStatus,
): { readonly status: BackendStatus; readonly emitted: readonly BackendEffect[] } {
  let status = from;
  const emitted: BackendEffect[] = [];
  observations.forEach(([now, observation]) => {
    const { state, effects } = decideBackendStatus(status, observation, now);
    status = state;
    emitted.push(...effects);
  });
  return { status, emitted };
}

function conditionsOf(emitted: readonly BackendEffect[]): readonly string[] {
  return emitted.flatMap((effect) => (effect.kind === 'condition' ? [effect.condition.kind] : []));
}

const HEALTHY: BackendObservation = { kind: 'health-answered', instanceId: 'i-1', warmUpLeftMs: 0 };

test('a busy backend server that answers requests is not taken as down when its health is late', () => {
  // Guards against a slow backend server that is refused all requests since its health check
  // waited for a slot longer than the check's timeout.
  const { emitted } = observeAll([
    [0, HEALTHY],
    [500, { kind: 'answered' }],
    [1000, { kind: 'health-timed-out', requestedAt: 0 }],
  ]);
  assert.deepEqual(conditionsOf(emitted), ['warm']);
  const silent = observeAll([
    [0, HEALTHY],
    [500, { kind: 'answered' }],
    [1700, { kind: 'health-timed-out', requestedAt: 600 }],
  ]);
  assert.deepEqual(conditionsOf(silent.emitted), ['warm', 'down']);
});

test('a health check that is rejected for lack of a slot does not make a cold server warm', () => {
  // Guards against full load on a cold backend server whose slots are taken.
  const cold: BackendObservation = {
    kind: 'health-answered',
    instanceId: 'i-1',
    warmUpLeftMs: 3000,
  };
  const { emitted } = observeAll([
    [0, cold],
    [100, { kind: 'health-rejected' }],
  ]);
  assert.deepEqual(conditionsOf(emitted), ['cold']);
});

test('connections that break together hold requests back until the health is read', () => {
  // Guards against full load in the moment between a restart and the first health answer.
  const broken = (fingerprint: string): BackendObservation => ({
    kind: 'connection-broken',
    fingerprint,
  });
  const single = observeAll([
    [0, broken('a')],
    [400, broken('b')],
    [800, broken('c')],
  ]);
  assert.deepEqual(conditionsOf(single.emitted), []);
  const together = observeAll([
    [0, broken('a')],
    [10, broken('b')],
    [20, broken('c')],
  ]);
  assert.deepEqual(conditionsOf(together.emitted), ['unknown']);
  assert.ok(together.emitted.some(({ kind }) => kind === 'check-health'));
});

test('requests that ran at a crash are reported with it, and those long before are not', () => {
  // Guards against requests that go on to crash one backend server after the other.
  const { emitted } = observeAll([
    [0, { kind: 'connection-broken', fingerprint: 'old' }],
    [2000, { kind: 'connection-broken', fingerprint: 'recent' }],
    [2100, { kind: 'connection-refused' }],
  ]);
  assert.deepEqual(
    emitted.filter(({ kind }) => kind === 'crashed'),
    [{ kind: 'crashed', fingerprints: ['recent'] }],
  );
});

test('an entry that lists a warm-up leads to a question, and another run to a crash report', () => {
  // Guards against a backend server that becomes cold again without a new run.
  const { emitted } = observeAll([
    [0, HEALTHY],
    [10, { kind: 'warm-up-listed' }],
    [20, { kind: 'connection-broken', fingerprint: 'a' }],
    [30, { kind: 'health-answered', instanceId: 'i-2', warmUpLeftMs: 2000 }],
  ]);
  assert.equal(emitted.filter(({ kind }) => kind === 'check-health').length, 2);
  assert.ok(emitted.some(({ kind }) => kind === 'crashed'));
  assert.deepEqual(conditionsOf(emitted), ['warm', 'cold']);
});
