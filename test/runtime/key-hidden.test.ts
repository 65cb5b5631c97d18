import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ACCOUNT_KEY, openMesh, waitUntil, type MeshRequest } from './mesh.js';

const base64 = (text: string): string => Buffer.from(text).toString('base64');
const percent = (text: string): string =>
  [...Buffer.from(text)].map((byte) => `%${byte.toString(16).padStart(2, '0')}`).join('');

interface Place {
  readonly name: string;
  readonly target?: string;
  readonly sent?: MeshRequest;
  /** Code of the answer; 0 when the request runs without the key. */
  readonly code: number;
}

/** Everywhere a caller might put the key besides the place where it belongs. */
function places(key: string): readonly Place[] {
  const header = (name: string, ...headers: readonly string[]): Place => ({
    name,
    sent: { headers },
    code: 0,
  });
  const target = (name: string, path: string, code = 0): Place => ({ name, target: path, code });
  return [
    header('cookie', 'cookie', `a=1; session=${key}`),
    header('proxy-authorization', 'proxy-authorization', `Bearer ${key}`),
    header('basic authorization', 'authorization', `Basic ${base64(`user:${key}`)}`),
    header('authorization without a scheme', 'authorization', key),
    header('other header', 'x-shop-token', key),
    header('unusual header', 'x-trace', `sampled;token="${key}";v=1`),
    header('base64', 'x-blob', base64(key)),
    header('base64 of a pair', 'x-blob', base64(`user:${key}`)),
    header('base64 after a name', 'x-blob', `token=${base64(key)}`),
    header('percent-encoded header', 'x-link', percent(key)),
    header('referer', 'referer', `http://127.0.0.1/page?key=${key}`),
    header('user-agent', 'user-agent', `workshop/1.0 ${key}`),
    header('header name', key.toLowerCase(), '1'),
    header('order identifier', 'almondhoist-order-id', key),
    header('own prefix', 'almondhoist-root-id', key),
    header('duplicate', 'x-a', 'plain', 'x-a', key, 'cookie', 'a=1', 'cookie', `k=${key}`),
    target('query', `/desk/read/x?a=1&token=${key}&b=2`),
    target('percent-encoded query', `/desk/read/x?token=${percent(key)}`),
    target('base64 query', `/desk/read/x?token=${encodeURIComponent(base64(key))}`),
    target('query name', `/desk/read/x?${key}=1`),
    target('path', `/desk/read/${key}`, 2005),
    target('percent-encoded path', `/desk/read/${percent(key)}`, 2005),
    target('service', `/${key}/read/x`, 2001),
    {
      name: 'body',
      target: '/desk/check/x',
      sent: { method: 'POST', body: JSON.stringify({ plan: 3, apiKey: key }) },
      code: 2005,
    },
  ];
}

test('a key reaches no backend server and no log line, wherever a caller puts it', async (context) => {
  // Guards against a broken promise key-hidden that the check inside the node does not see.
  const mesh = await openMesh(context);
  const forms = [ACCOUNT_KEY, base64(ACCOUNT_KEY), percent(ACCOUNT_KEY)];
  const mark = () => ({ bytes: mesh.received().length, lines: mesh.logLines().length });
  const expectHidden = (since: ReturnType<typeof mark>) => {
    const texts = {
      received: mesh.received().slice(since.bytes),
      log: mesh.logLines().slice(since.lines).join('\n'),
    };
    Object.entries(texts).forEach(([place, text]) =>
      forms.forEach((form) =>
        assert.ok(!text.toLowerCase().includes(form.toLowerCase()), `${place} has ${form}`),
      ),
    );
    assert.ok(!texts.received.includes(base64(`user:${ACCOUNT_KEY}`)), 'the pair was received');
  };
  for (const { name, target = '/desk/read/x', sent = {}, code } of places(ACCOUNT_KEY)) {
    await context.test(name, async () => {
      const since = mark();
      const got = await mesh.send(target, sent);
      expectHidden(since);
      assert.equal(got.code, code, got.text);
    });
  }
  await context.test('presented key', async () => {
    const since = mark();
    const body = 'plan 3';
    // A seat grants only after a wait, and its bucket is empty then, so that the first requests
    // are refused with 2101 (docs/design.md, 3.1).
    const served = async (headers: readonly string[]): Promise<boolean> => {
      const got = await mesh.send('/desk/keyed/x', { method: 'POST', headers, body });
      if (got.code === 2101) return false;
      assert.deepEqual([got.code, got.text], [0, body]);
      return true;
    };
    const authorization = ['authorization', `Bearer ${ACCOUNT_KEY}`];
    for (const headers of [
      ['x-api-key', ACCOUNT_KEY],
      authorization,
      [...authorization, 'x-copy', `a,${ACCOUNT_KEY}x`],
      [...authorization, ...authorization],
    ]) {
      await waitUntil('answer to a request with a key', () => served(headers));
    }
    expectHidden(since);
  });
});
