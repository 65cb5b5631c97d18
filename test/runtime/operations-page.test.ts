import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { test } from 'node:test';
import { Metrics } from '../../src/runtime/metrics.js';
import { SidecarMetrics } from '../../src/sidecar/sidecar-metrics.js';

const page = await readFile('docs/OPERATIONS.md', 'utf8');

test('the operations page has a row for every metric, and for no other', () => {
  // Guards against exported metrics that are not documented, and against outdated rows.
  const all = [new Metrics(), new SidecarMetrics()].flatMap(({ registry }) =>
    registry.getMetricsAsArray(),
  );
  const registered = [...new Set(all.map(({ name }) => name))].filter((name) =>
    name.startsWith('almondhoist_'),
  );
  const rows = [...page.matchAll(/^\| `(almondhoist_\w+)`/gm)].map(([, name]) => name);
  assert.ok(registered.length > 0);
  assert.deepEqual(rows.sort(), registered.sort());
});
