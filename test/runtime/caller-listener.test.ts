import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { request } from 'undici';
import type { Log, LogEntry } from '../../src/core/logs/log-entry.js';
import { refusal } from '../../src/core/pipeline/request-stages.js';
import { CallerListener } from '../../src/runtime/caller-listener.js';
import { EntryTask, type EntryTaskOptions } from '../../src/runtime/entry-task.js';

const MAX_BODY_BYTES = 1024;

test('a request that is too large is logged, and marked not run only without an order', async () => {
  // Guards against a false "not run" for an order that ran through a node with a larger limit, and
  // against a refusal that is missing from the log, where `explain` looks for it.
  const entries: LogEntry[] = [];
  const log: Log = { write: (entry) => entries.push(entry) };
  // A refusal that issues no order identifier uses only the log.
  const entry = new EntryTask({ log } as unknown as EntryTaskOptions);
  const unexpected = () => assert.fail('the request must not be handled');
  let count = 0;
  const { server } = new CallerListener({
    clock: { now: () => 0 },
    tls: null,
    maxBodyBytes: MAX_BODY_BYTES,
    newRequestId: () => {
      count += 1;
      return `a-${count}`;
    },
    handle: unexpected,
    refuseTooLarge: (raw) => entry.refuse(raw, refusal('requestTooLarge')),
    refuseMalformed: unexpected,
    issueOrder: unexpected,
    onAbandoned: () => {},
    isStopping: () => false,
    onConnectionsDropped: () => {},
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/orderdesk/orders`;
  const send = async (headers: Readonly<Record<string, string>>) => {
    const body = 'x'.repeat(MAX_BODY_BYTES + 1);
    const answer = await request(url, { method: 'POST', headers, body });
    const text = (await answer.body.json()) as { readonly requestId: string };
    assert.deepEqual([answer.statusCode, answer.headers['almondhoist-code']], [413, '2006']);
    assert.equal(answer.headers['connection'], 'close');
    assert.equal(answer.headers['almondhoist-request-id'], text.requestId);
    return answer.headers['almondhoist-not-run'];
  };
  try {
    assert.equal(await send({}), 'true');
    assert.equal(await send({ 'almondhoist-order-id': 'earlier' }), undefined);
  } finally {
    server.close();
    server.closeAllConnections();
  }
  assert.deepEqual(
    entries.map((line) => (line.kind === 'refusal' ? [line.requestId, line.code] : null)),
    [
      ['a-1', 'requestTooLarge'],
      ['a-2', 'requestTooLarge'],
    ],
  );
});
