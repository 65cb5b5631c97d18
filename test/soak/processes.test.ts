import assert from 'node:assert/strict';
import { test } from 'node:test';
import { runProcessSoak } from '../../soak/processes/process-soak.js';

const SEED = 8;
const FAULTS_MS = 8000;

test('node processes keep the promises when nodes and the store fail', async () => {
  // Guards against faults that only occur with real processes, sockets and signals.
  const subnet = `127.${20 + (process.pid % 200)}.251`;
  const { breaches, answers, faults } = await runProcessSoak({
    seed: SEED,
    faultsMs: FAULTS_MS,
    subnet,
  });
  assert.deepEqual(breaches, [], JSON.stringify(faults));
  assert.ok((answers.get(200) ?? 0) > 0);
});
