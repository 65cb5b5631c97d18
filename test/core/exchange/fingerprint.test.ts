import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeFingerprint, fingerprintOfCall } from '../../../src/core/exchange/fingerprint.js';
import type { MeshCall } from '../../../src/core/exchange/mesh-call.js';

const CALL: MeshCall = {
  requestId: 'a1',
  route: 'order',
  service: 'stock',
  instance: 'i-1',
  origin: 'desk',
  account: null,
  rank: { isNested: false, accountPriority: 0, routePriority: 0 },
  repeatability: 'idempotent',
  timeLeftMs: 3000,
  objectiveLeftMs: 2000,
  method: 'PUT',
  path: '/order/1?size=2',
  headers: [['host', 'shop.example']],
  body: Buffer.from('three'),
};

test('an entry and a gate know the same request by the same fingerprint', () => {
  // Guards against a request that crashes servers and is let in again, as its marks name another.
  const { route, method, path, body } = CALL;
  const request = { route, method, path, body };
  assert.equal(fingerprintOfCall(CALL), computeFingerprint({ ...request, caller: 'desk' }));
  assert.equal(
    fingerprintOfCall({ ...CALL, account: 'pulo' }),
    computeFingerprint({ ...request, caller: 'pulo' }),
  );
});

test('requests that differ have different fingerprints', () => {
  // Guards against refusing requests that have nothing to do with a crash.
  const others: readonly MeshCall[] = [
    { ...CALL, account: 'pulo' },
    { ...CALL, route: 'look' },
    { ...CALL, method: 'POST' },
    { ...CALL, path: '/order/2' },
    { ...CALL, body: Buffer.from('four') },
  ];
  const fingerprints = [CALL, ...others].map(fingerprintOfCall);
  assert.equal(new Set(fingerprints).size, fingerprints.length);
  assert.equal(fingerprintOfCall({ ...CALL, requestId: 'a2' }), fingerprints[0]);
});
