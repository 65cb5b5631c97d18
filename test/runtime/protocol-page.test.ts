import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import type { Frame } from '../../src/runtime/frame-codec.js';

/** The compiler rejects this table if a kind is missing or no longer exists. */
const kinds: Readonly<Record<Frame['kind'], true>> = {
  hello: true,
  challenge: true,
  proof: true,
  ping: true,
  pong: true,
  call: true,
  'order-call': true,
  answer: true,
  cancel: true,
  announce: true,
  pull: true,
  delta: true,
  document: true,
  draw: true,
  grant: true,
  settlement: true,
  'lease-request': true,
  lease: true,
  marks: true,
  incarnations: true,
  leaving: true,
};

test('the protocol page has a row for every kind of peer message, and for no other', async () => {
  // Guards against an undocumented message, which another implementation could not handle.
  const page = await readFile('docs/protocol.md', 'utf8');
  const section = page.slice(page.indexOf('## 3. Between nodes'));
  const rows = [...section.matchAll(/^\| `([\w-]+)`/gm)].map(([, kind]) => kind);
  assert.deepEqual(rows.sort(), Object.keys(kinds).sort());
});

test('the protocol page names every header that the entry sets', async () => {
  // Guards against a header that callers receive but that is not documented.
  const page = await readFile('docs/protocol.md', 'utf8');
  const listener = await readFile('src/runtime/caller-listener.ts', 'utf8');
  const headerNames = [...listener.matchAll(/'((?:almondhoist-|retry-)[\w-]+)'/g)].map(
    ([, name]) => name,
  );
  assert.ok(headerNames.length > 0);
  assert.deepEqual(
    headerNames.filter((name) => !page.includes(`| \`${name ?? ''}\``)),
    [],
  );
});
