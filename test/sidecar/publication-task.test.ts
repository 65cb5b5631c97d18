import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Directory } from '../../src/core/directory/directory.js';
import type { Publication } from '../../src/core/publications/publication.js';
import type { StoreReply } from '../../src/core/publications/store-reply.js';
import { PublicationTask } from '../../src/sidecar/publication-task.js';

const KEY = 'servers/i-1';
const ENTRY: Publication = { key: KEY, revision: 1, text: '{}' };
const REMOVED: Publication = { key: KEY, revision: 2, text: null };

/** Creates a task that has read the store once and had no outage, with the events it reports. */
async function settledTask(): Promise<{
  readonly task: PublicationTask;
  readonly instances: () => number;
  readonly held: readonly string[];
}> {
  let directory: Directory | null = null;
  const held: string[] = [];
  const task = new PublicationTask({
    clock: { now: () => 10_000 },
    random: () => 0.5,
    store: {
      list: () => Promise.resolve({ kind: 'listing', publications: [ENTRY], asOf: 1 }),
      watch: () => new Promise<StoreReply>(() => {}),
      cancel: () => {},
    },
    decodeValue: ({ key }) => ({
      kind: 'instance',
      instance: {
        id: key,
        service: 'stock',
        address: '10.0.0.1:80',
        zone: 'a',
        slots: 1,
        state: 'serving',
        warmUpLeftMs: 0,
        startedAtUnixMs: 1,
      },
    }),
    report: (code, details) => {
      if (code === 'lapseHeld') held.push(String(details['key']));
    },
    changed: (_, known) => {
      directory = known;
    },
    answered: () => {},
    statusChanged: () => {},
  });
  task.send({ kind: 'start' });
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  return { task, instances: () => directory?.instances.length ?? 0, held };
}

test('a removal takes effect at once when only the reader has just had an outage', async () => {
  // Guards against requests to a backend server that has left: a node without an outage of its own
  // held the removal back for 2.2 s, because its reader had just had one.
  const { task, instances, held } = await settledTask();
  assert.equal(instances(), 1);
  task.send({ kind: 'feed-received', changes: [REMOVED], revision: 2, isSettled: false });
  assert.deepEqual(held, []);
  assert.equal(instances(), 0);
  task.close();
});
