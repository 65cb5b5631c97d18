import assert from 'node:assert/strict';
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { test } from 'node:test';

/** Names of headers, paths, keys and roles of the platform, matched in any case. */
const WIRE_WORDS = [
  'attempt-id',
  'timeout-ms',
  'target-instance',
  'tenant-id',
  'caller-service',
  'response-signature',
  'not-executed',
  'server-limit',
  'server-leaving',
  'warmup-ms',
  'kv-key',
  'kv-range',
  'kv-watch',
  'op/config',
  'op/evacuate',
  'readyz',
  'tombstone',
  'tenant',
  'upstream',
];

/**
 * Names of the platform's fields, matched in this spelling as whole words. Similar names such as
 * `ratePerSecond` and `warmUpLeftMs` belong to the product and are allowed.
 */
const WIRE_FIELDS = [
  'trafficSplit',
  'warmupPerS',
  'warmupLeft',
  'targetLatency',
  'ratePerS',
  'apiKeys',
  'appAddr',
  'ALMONDHOIST_CONFIG',
];

test('the files in src contain no names that only the platform uses', async () => {
  // Guards against decisions that depend on the platform's naming.
  const files = (await readdir('src', { recursive: true })).filter((name) => name.endsWith('.ts'));
  assert.ok(files.length > 100);
  for (const file of files) {
    const text = await readFile(join('src', file), 'utf8');
    const found = [
      ...WIRE_WORDS.filter((word) => text.toLowerCase().includes(word)),
      ...WIRE_FIELDS.filter((field) => new RegExp(`\\b${field}\\b`).test(text)),
    ];
    assert.deepEqual(found, [], file);
  }
});
