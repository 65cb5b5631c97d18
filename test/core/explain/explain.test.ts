import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { test } from 'node:test';
import { pathToFileURL } from 'node:url';
import { promisify } from 'node:util';
import { buildCallTree } from '../../../src/core/explain/call-tree.js';
import { explain } from '../../../src/core/explain/explain.js';
import { parseLog, type LogLine } from '../../../src/core/explain/log-line.js';
import type { CallEntry } from '../../../src/core/explain/select-lines.js';
import type { LogEntry } from '../../../src/core/logs/log-entry.js';
import { valueOf } from '../../results.js';

const FIXTURES = 'test/fixtures/explain';
const names = (await readdir(FIXTURES)).sort();
const texts = await Promise.all(names.map((name) => readFile(join(FIXTURES, name), 'utf8')));
const ORDER_REQUEST_ID = 'planner-1-aa-1';
const NESTED_CALL_ID = 'orderdesk-3-bb-5';

test('an order that crossed several nodes is explained in order, with the nested call below its parent', () => {
  // Guards against lines of other nodes that are missing or out of order.
  const { text, skipped } = valueOf(explain(texts, ORDER_REQUEST_ID));
  const page = text.join('\n');
  const expected = [
    `root request ${ORDER_REQUEST_ID} at node planner-1: account paisley-upholstery, service orderdesk`,
    'order sent to its home node orderdesk-1: [5005]',
    'attempt 1 from clyde-a: chose orderdesk-2: [5004]',
    'candidate orderdesk-2 in clyde-b: 12 running and queued, limit 60',
    'candidate orderdesk-3 in clyde-c: load unknown',
    'gate of orderdesk-2 answered: [2104] Backend server overloaded, refused at the gate',
    'hint: Wait for the time in retry-after.',
    'attempt 2 from clyde-a: chose orderdesk-3: [5006]',
    'dispatched to backend server orderdesk-3',
    `    nested call ${NESTED_CALL_ID} at node orderdesk-3: account paisley-upholstery, service planner`,
    'dispatched to backend server planner-3',
    'backend server planner-3 answered with status 200',
    'answered with status 200 after 5 ms: [0] Success',
    'backend server orderdesk-3 answered with status 201',
    'answered with status 201 after 16 ms: [0] Success',
    'outcome: a backend server ran the request and its response was returned',
  ];
  const places = expected.map((part, index) =>
    page.indexOf(part, index === 0 ? 0 : page.indexOf(expected[index - 1] ?? '')),
  );
  assert.deepEqual(
    expected.filter((_part, index) => (places[index] ?? -1) < 0),
    [],
    page,
  );
  assert.deepEqual(
    places,
    [...places].sort((left, right) => left - right),
    page,
  );
  assert.equal(skipped, 2);
});

test('neither the order of the files nor the clock of a gate changes the structure', () => {
  // Guards against lines of a gate that are misplaced because its clock is behind.
  const forward = valueOf(explain(texts, ORDER_REQUEST_ID)).text;
  assert.deepEqual(valueOf(explain([...texts].reverse(), ORDER_REQUEST_ID)).text, forward);
  const withClockBehind = texts.map((text, index) =>
    names[index] === 'planner-3.log'
      ? text.replaceAll('"time": 17963817070', '"time": 17963817060')
      : text,
  );
  assert.notDeepEqual(withClockBehind, texts);
  const withoutTimes = (lines: readonly string[]) =>
    lines.map((line) => line.replace(/^ *-?\d+ ms/, '').trim());
  const skewed = valueOf(explain(withClockBehind, ORDER_REQUEST_ID)).text;
  assert.deepEqual(withoutTimes(skewed), withoutTimes(forward));
});

test('the identifier of a send or of a nested call leads to its root request', () => {
  // Guards against an identifier from the log of a backend server that is not found.
  const whole = valueOf(explain(texts, ORDER_REQUEST_ID)).text;
  [`${ORDER_REQUEST_ID}.2`, NESTED_CALL_ID, `${NESTED_CALL_ID}.1`].forEach((id) => {
    const [first, ...rest] = valueOf(explain(texts, id)).text;
    assert.equal(first, `${id} belongs to the root request ${ORDER_REQUEST_ID}`);
    assert.deepEqual(rest, whole);
  });
});

test('a refusal at the entry is explained with its code and retry time', () => {
  // Guards against a refused request that is reported as not logged.
  const page = valueOf(explain(texts, 'planner-1-aa-2')).text.join('\n');
  assert.match(
    page,
    /^request planner-1-aa-2 at node planner-1: account and service are not in the log/,
  );
  assert.match(page, /refused at the entry: \[2101\] Rate exceeded/);
  assert.match(page, /retry after 40 ms/);
  assert.match(page, /outcome: this request did not run \(\[2101\]/);
});

test('a gate without log lines and a broken promise are reported', () => {
  // Guards against a missing log that is mistaken for a call that was never sent.
  const page = valueOf(explain(texts, 'planner-1-aa-3')).text.join('\n');
  assert.match(page, /a caller without a key, service stockroom/);
  assert.match(page, /no log line from stockroom-9 about this attempt/);
  assert.match(page, /broken promise not-run: planner-1-aa-3\.1 was refused/);
  assert.match(page, /outcome: the request may have run \(\[3005\]/);
});

test('a nested call is placed below a call that was running on its node when it arrived', () => {
  // Guards against a parent that had already ended, and an ambiguous parent not marked as such.
  const call = { rootId: 'a-1', caller: { kind: 'anonymous' }, service: 's' } as const;
  const line = (time: number, entry: CallEntry) => ({ node: 'b-1', time, sequence: time, entry });
  const start = (time: number, requestId: string) =>
    line(time, { kind: 'dispatch', ...call, requestId, backendServer: 'b-1' });
  const end = (time: number, requestId: string) =>
    line(time, {
      kind: 'gate-answer',
      ...call,
      requestId,
      backendServer: 'b-1',
      code: 'ok',
      status: 200,
    });
  const nestedCall = line(5, {
    kind: 'entry-answer',
    ...call,
    requestId: 'b-2',
    code: 'ok',
    status: 200,
    durationMs: 1,
  });
  const placeNestedCalls = (lines: readonly LogLine<CallEntry>[]) => {
    const { root, orphans } = buildCallTree({ rootId: 'a-1', calls: lines, violations: [] });
    const calls = (root?.timeline ?? []).flatMap((item) =>
      item.kind === 'call' ? [item.call] : [],
    );
    return {
      unsure: calls.map(({ isParentAmbiguous: isParentUnsure }) => isParentUnsure),
      orphans: orphans.map(({ requestId }) => requestId),
    };
  };
  const open = [start(1, 'a-1.1'), end(9, 'a-1.1'), nestedCall];
  assert.deepEqual(placeNestedCalls(open), { unsure: [false], orphans: [] });
  assert.deepEqual(placeNestedCalls([...open, start(2, 'a-1.2')]), { unsure: [true], orphans: [] });
  const linesOfEndedRun = [start(1, 'a-1.1'), end(4, 'a-1.1'), nestedCall];
  assert.deepEqual(placeNestedCalls(linesOfEndedRun), { unsure: [], orphans: ['b-2'] });
});

test('a request without log lines is not explained', () => {
  // Guards against matching an identifier that is only a prefix of a logged one.
  const explained = explain(texts, 'planner-1-aa');
  assert.ok(explained.isErr());
  assert.equal(explained.error.skipped, 2);
  assert.equal(explained.error.read, parseLog(texts).lines.length);
});

const subject = {
  requestId: 'a-1',
  rootId: 'a-1',
  caller: { kind: 'anonymous' },
  service: 's',
} as const;

const entries: { readonly [Kind in LogEntry['kind']]: Extract<LogEntry, { kind: Kind }> } = {
  routing: {
    kind: 'routing',
    ...subject,
    zone: 'z',
    attempt: 1,
    candidates: [{ backendServer: 'b', zone: 'z', busy: null, limit: null }],
    choice: null,
    code: 'noBackendServer',
  },
  placement: { kind: 'placement', ...subject, orderId: 'o', home: 'b', code: 'chosenHome' },
  dispatch: { kind: 'dispatch', ...subject, backendServer: 'b' },
  'gate-answer': { kind: 'gate-answer', ...subject, backendServer: 'b', code: 'ok', status: 200 },
  refusal: { kind: 'refusal', requestId: 'a-1', code: 'keyMissing', retryAfterMs: 0 },
  'entry-answer': { kind: 'entry-answer', ...subject, code: 'ok', status: 200, durationMs: 1.5 },
  decision: {
    kind: 'decision',
    stage: 'gate',
    requestId: 'a-1',
    code: 'overloaded',
    details: { running: 3, condition: 'warm' },
  },
  event: { kind: 'event', code: 'nodeStopped', details: { open: 0 } },
  violation: { kind: 'violation', promise: 'not-run', detail: 'a-1' },
};

test('every kind of log line that a node writes can be parsed', async () => {
  // Guards against a change of the log format that the parser does not follow.
  const written = Object.values(entries);
  const log = pathToFileURL('dist/js/src/runtime/roarr-log.js').href;
  const program = `import { openLog } from ${JSON.stringify(log)};
    const log = openLog('node-1');
    ${JSON.stringify(written)}.forEach((entry) => log.write(entry));
    log.flush();`;
  const { stdout } = await promisify(execFile)(process.execPath, [
    '--input-type=module',
    '--eval',
    program,
  ]);
  const { lines, skipped } = parseLog([stdout]);
  assert.equal(skipped, 0, stdout);
  assert.deepEqual(
    lines.map(({ entry }) => entry),
    written,
  );
  assert.ok(lines.every(({ node }) => node === 'node-1'));
});
