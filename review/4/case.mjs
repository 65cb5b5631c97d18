/* eslint-disable no-await-in-loop -- the steps of a case follow each other. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Agent } from 'node:http';
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { send } from '../lib/client.mjs';
import { HOST, LIMITS, runCase, service, startDeployment } from '../lib/deployment.mjs';

const KEPT_KEY = '6wsjnbanfqasnmgkcuyj';
const WITHDRAWN_KEY = '8pjbvk9m68k7b2ex5wa5';
const CONFIG_MS = 2000;

/** Time for which the machines are out of touch behind the disruption, and a margin. */
const TOUCH_MS = 3000;
const MARGIN_MS = 1000;

const WATCHED_MS = 12_000;
const SEND_INTERVAL_MS = 100;

function config(version, apiKeys) {
  return {
    version,
    routes: [
      {
        name: 'look',
        host: HOST,
        prefix: '/look/',
        kind: 'safe',
        timeout: '800ms',
        targetLatency: '1200ms',
        priority: 2,
        service: 'stockroom',
        attempts: 2,
        public: false,
      },
    ],
    services: [service('stockroom')],
    limits: LIMITS,
    tenants: [{ name: 'pulo780', apiKeys, priority: 1, ratePerS: 1000, burst: 1000 }],
  };
}

async function play(record, hasTrouble) {
  const deployment = await startDeployment({
    machines: ['lowland-a', 'highland-a', 'lowland-b'].map((zone) => ({
      service: 'stockroom',
      zone,
    })),
    config: config(7, [KEPT_KEY, WITHDRAWN_KEY]),
    record,
  });
  try {
    const { machines, store } = deployment;
    const agent = new Agent({ keepAlive: true });
    await sleep(2000);
    // Every node reads this version, and then waits for the next change.
    store.put('op/config', config(8, [KEPT_KEY, WITHDRAWN_KEY]));
    await sleep(500);
    if (hasTrouble) record(`${store.silenceConnections()} connections to the store go silent`);
    await sleep(TOUCH_MS + MARGIN_MS);
    store.put('op/config', config(9, [KEPT_KEY]));
    const acknowledgedAt = performance.now();
    record('the store acknowledges version 9, which holds the second key no longer');
    const calls = [];
    for (let index = 0; performance.now() - acknowledgedAt < WATCHED_MS; index += 1) {
      const machine = machines[index % machines.length];
      const call = { path: `/look/${index}`, key: WITHDRAWN_KEY, timeoutMs: 2000, agent };
      calls.push(send(machine, call, record));
      await sleep(SEND_INTERVAL_MS);
    }
    const answers = await Promise.all(calls);
    const runs = new Set(
      machines.flatMap(({ upstream }) => upstream.runs.map(({ attempt }) => attempt)),
    );
    const late = answers.filter(
      ({ attempt, sentAt }) => runs.has(attempt) && sentAt > acknowledgedAt + CONFIG_MS,
    );
    const last = Math.max(0, ...late.map(({ sentAt }) => sentAt - acknowledgedAt));
    return {
      isBroken: late.length > 0,
      verdict:
        `${late.length} requests with the withdrawn key that were sent later than ${CONFIG_MS} ms after ` +
        `the acknowledgement ran, the last one sent after ${Math.round(last)} ms`,
    };
  } finally {
    await deployment.close();
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), play);
