import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ok } from 'neverthrow';
import { OrderIdSigner } from '../../../src/core/order/order-id.js';

const identity = new OrderIdSigner('a secret of the fleet with more than 32 characters');
const caller = { kind: 'account', account: 'workshop-paisley' } as const;
const claim = { home: 'orderdesk-1', homeIncarnation: '0017', caller, issuedAt: 1234.5 };
const random = new Uint8Array(16).fill(7);

test('an issued identifier verifies for its caller only', () => {
  // Guards against the use of an order identifier by another account.
  const text = identity.issue(claim, random);
  assert.match(text, /^[\w.-]+$/);
  assert.deepEqual(identity.verify(text, caller), ok(claim));
  assert.ok(identity.verify(text, { kind: 'anonymous' }).isErr());
  assert.ok(identity.verify(text, { kind: 'account', account: 'other' }).isErr());
  const open = { ...claim, caller: { kind: 'anonymous' } as const };
  assert.deepEqual(identity.verify(identity.issue(open, random), open.caller), ok(open));
});

test('a changed or foreign identifier is refused', () => {
  // Guards against forged homes, and against a second encoding that would count as another order.
  const text = identity.issue(claim, random);
  const foreign = new OrderIdSigner('another secret with more than 32 characters');
  assert.ok(foreign.verify(text, caller).isErr());
  [...text].forEach((character, index) => {
    const other = character === 'A' ? 'B' : 'A';
    const changed = `${text.slice(0, index)}${other}${text.slice(index + 1)}`;
    assert.ok(identity.verify(changed, caller).isErr(), `character ${index}`);
  });
  ['', '.', `${text}=`, `${text}.`, 'x'.repeat(2000)].forEach((bad) =>
    assert.ok(identity.verify(bad, caller).isErr(), bad),
  );
});
