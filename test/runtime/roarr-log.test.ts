import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { openLog } from '../../src/runtime/roarr-log.js';

const LINES = 20_000;

/** Far below what a kept message of a hundred bytes takes for each line. */
const MAX_GROWTH_BYTES = 2_000_000;

function collectGarbage(): void {
  setFlagsFromString('--expose-gc');
  (runInNewContext('gc') as () => void)();
}

const written: string[] = [];

/** Output that keeps the last text only. */
const log = openLog('a node', {
  writableLength: 0,
  write: (text, onEnd) => {
    written.splice(0, written.length, text);
    onEnd();
  },
});

function writeLines(from: number): void {
  for (let version = from; version < from + LINES; version += 1) {
    log.write({ kind: 'event', code: 'policyApplied', details: { version, revision: version } });
  }
  log.flush();
}

test('lines with different messages leave nothing in memory', () => {
  // Guards against a node that grows with each configuration that it logs.
  writeLines(0);
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  writeLines(LINES);
  collectGarbage();
  const growth = process.memoryUsage().heapUsed - before;
  assert.ok(growth < MAX_GROWTH_BYTES, `${growth} bytes`);
});

test('a message is written as it is, also with a percent sign', () => {
  // Guards against a message that is taken for a format.
  const details = { key: 'a%sb', reason: '%d of %s' };
  log.write({ kind: 'event', code: 'publicationUnreadable', details });
  log.flush();
  const { message } = JSON.parse(written.join('')) as { readonly message: string };
  assert.match(message, /the value a%sb cannot be read: %d of %s$/);
});
