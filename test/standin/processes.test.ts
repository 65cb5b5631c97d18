import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { test } from 'node:test';
import type { TestContext } from 'node:test';
import { request } from 'undici';
import { BackendServer } from '../../standin/backend-server.js';
import type { BackendControl, BackendSettings } from '../../standin/backend-server.js';
import { ConfigurationService } from '../../standin/configuration-service.js';
import { PassThrough } from '../../standin/pass-through.js';
import { answerJson, listen } from '../../standin/process.js';

const settings: BackendSettings = {
  service: 'planner',
  port: 0,
  seed: 1,
  nodeUrl: '',
  slots: 4,
  coldCapacity: 4,
  warmUpMs: 1000,
  acceptQueue: 4,
  exitsWhenOverrun: false,
  demoKeys: ['demo-key-of-workshop-paisley'],
  paths: [
    { method: 'POST', path: 'plans/check', serviceMs: 0, calls: ['GET stockroom/blocks/oak'] },
    { method: 'GET', path: 'plans/*', serviceMs: 0, calls: [] },
  ],
};

async function openServer(context: TestContext, server: Server): Promise<string> {
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `http://127.0.0.1:${await listen(server, 0)}`;
}

async function openBackend(context: TestContext, nodeUrl = ''): Promise<string> {
  const backend = new BackendServer({ ...settings, nodeUrl }, () => assert.fail('exit'));
  return openServer(context, backend.server);
}

async function send(url: string, body?: object, headers = {}) {
  const answer = await request(url, {
    method: body === undefined ? 'GET' : 'POST',
    headers,
    body: body === undefined ? null : JSON.stringify(body),
  });
  const text = await answer.body.text();
  return { status: answer.statusCode, headers: answer.headers, text };
}

test('a nested call carries the context headers, and its failure fails the outer call', async (context) => {
  // Guards against goodput that includes requests with a failed nested call.
  const seen: unknown[] = [];
  const node = createServer((incoming, response) => {
    seen.push([incoming.url, incoming.headers['almondhoist-context'], incoming.headers['x-other']]);
    answerJson(response, seen.length === 1 ? 200 : 503);
  });
  const url = await openBackend(context, await openServer(context, node));
  const headers = { 'almondhoist-context': 'handle', 'x-other': 'private' };
  const first = await send(`${url}/plans/check`, { order: 7 }, headers);
  const second = await send(`${url}/plans/check`, { order: 7 }, headers);
  assert.deepEqual([first.status, second.status], [200, 502]);
  assert.deepEqual(seen[0], ['/stockroom/blocks/oak', 'handle', undefined]);
  const run = { order: '7', path: 'POST plans/check' };
  assert.deepEqual(JSON.parse((await send(`${url}/standin/runs`)).text), [run, run]);
});

test('an API key in a header or in the query is recorded', async (context) => {
  // Guards against a key-hidden check that misses keys which reach a backend server.
  const url = await openBackend(context);
  const [key = ''] = settings.demoKeys;
  await send(`${url}/plans/3`, undefined, { 'x-other': `Bearer ${key}` });
  await send(`${url}/plans/3?token=${key.replace('d', '%64')}`);
  await send(`${url}/plans/3`);
  const received = JSON.parse((await send(`${url}/standin/received-keys`)).text) as unknown[];
  assert.equal(received.length, 2);
});

test('a misleading health endpoint hides that the server is draining', async (context) => {
  // Guards against correct health and load answers in scenarios with misleading endpoints.
  const url = await openBackend(context);
  const control = (body: BackendControl) => send(`${url}/standin/control`, body);
  await control({ kind: 'drain', enabled: true });
  assert.equal((await send(`${url}/health`)).status, 503);
  await control({ kind: 'mislead', health: 200, load: { running: 0 } });
  assert.equal((await send(`${url}/health`)).status, 200);
  assert.deepEqual(JSON.parse((await send(`${url}/load`)).text), { running: 0 });
  assert.equal((await send(`${url}/plans/3`)).status, 503);
});

test('the baseline proxy makes three attempts and rejects unknown keys', async (context) => {
  // Guards against a baseline with more or fewer retries and checks than documented.
  let calls = 0;
  const failing = createServer((_, response) => {
    calls += 1;
    answerJson(response, 503);
  });
  const services = { stockroom: [await openServer(context, failing)] };
  const baseline = new PassThrough({ port: 0, keys: ['key'], contextToken: 'token', services });
  const url = await openServer(context, baseline.server);
  assert.equal((await send(`${url}/stockroom/blocks/oak`)).status, 401);
  const headers = { authorization: 'Bearer key' };
  assert.equal((await send(`${url}/stockroom/blocks/oak`, undefined, headers)).status, 503);
  assert.equal(calls, 3);
});

test('a value is returned with its etag, and a watch waits for a different etag', async (context) => {
  // Guards against a watch that returns the version that the reader already has.
  const service = new ConfigurationService();
  const url = await openServer(context, service.server);
  const control = await openServer(context, service.controlServer);
  const name = 'configuration/parts/ab';
  assert.equal((await send(`${url}/v1/values/${name}`)).status, 404);
  await send(control, { kind: 'publish', name, text: '{"entries":{}}' });
  const read = await send(`${url}/v1/values/${name}`);
  assert.deepEqual([read.status, read.text], [200, '{"entries":{}}']);
  const after = encodeURIComponent(String(read.headers['etag']));
  assert.equal((await send(`${url}/v1/watch/${name}?after=${after}&wait_ms=1`)).status, 304);
  assert.equal((await send(`${url}/v1/watch/${name}?wait_ms=60000`)).status, 200);
});
