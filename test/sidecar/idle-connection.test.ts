import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { get, LIMITS, RawCaller, startFrontEnd } from './front-end.js';
import { waitFor } from './fleet.js';

for (const idleTimeoutMs of [1500, 3000]) {
  test(`a connection on which nothing was sent for ${idleTimeoutMs} ms is closed without an answer`, async (t) => {
    // Guards against a refusal that a caller takes as the answer to the request it is about to send,
    // and against silent callers whose connections stay open for good.
    const { listener, port } = await startFrontEnd(t);
    listener.setLimits({ ...LIMITS, idleTimeoutMs });
    const caller = new RawCaller(t, port);
    const openedAt = performance.now();
    await waitFor('the end of the connection', () => caller.isEnded);
    assert.deepEqual(caller.answers, []);
    assert.ok(performance.now() - openedAt >= idleTimeoutMs - 50);
  });
}

test('a connection whose first request comes after the time for headers is served', async (t) => {
  // Guards against closing a connection that its caller opened in advance and then uses.
  const { listener, port, answer } = await startFrontEnd(t);
  listener.setLimits({ ...LIMITS, idleTimeoutMs: 3000 });
  const caller = new RawCaller(t, port);
  // Nothing is sent until the header timeout was checked, and the answer comes behind the idle time.
  await sleep(LIMITS.headerTimeoutMs + 1200);
  caller.socket.write(get('/a'));
  await sleep(1500);
  answer('/a', 'whole');
  await waitFor('the answer', () => caller.answers.length === 1);
  assert.equal(caller.answers[0]?.body, 'whole');
});
