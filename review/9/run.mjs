// Servers leave whose nodes got no answer from the store until a moment ago, and the requests they still get.
import { writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { call } from '../lib-2/client.mjs';
import { Deployment } from '../lib-2/deployment.mjs';
import { AppServer } from '../lib-2/server.mjs';

const isTrouble = process.env.TROUBLE !== '0';
const HOST = 'hulo84.example';
const DRAIN_MS = 2000;
const TOUCH_MS = 3000;
const SILENT_MS = 9000;
/** Time for which the server goes on to serve after its entry was removed. */
const SERVES_ON_MS = 5000;
const REQUESTS_PER_S = 120;
/** Time between the two servers that leave. */
const LEAVING_GAP_MS = 900;
/** Machines that the store does not answer for a time; their servers leave afterwards, in this order. */
const ROUNDS = [
  [0, 1],
  [2, 3],
  [4, 5],
  [1, 0],
];

const record = [];
const log = (line) => record.push(line);

async function main() {
  const zones = ['lowland-a', 'lowland-b', 'highland-a'];
  const deployment = await Deployment.create(
    zones.flatMap((zone) =>
      [1, 2].map((number) => ({ name: `${zone}-${number}`, zone, service: 'orderdesk' })),
    ),
  );
  let isBroken = false;
  try {
    const { ports, store, machines } = deployment;
    store.put('op/config', {
      version: 7,
      routes: [
        {
          name: 'r-order',
          host: HOST,
          prefix: '/order/',
          kind: 'unsafe',
          timeout: '2000ms',
          targetLatency: '1500ms',
          priority: 1,
          service: 'orderdesk',
          attempts: 2,
          public: true,
        },
      ],
      services: [
        {
          name: 'orderdesk',
          healthPath: '/healthz',
          maxConnections: 1000,
          protocol: 'h1',
          tls: false,
          warmup: '3s',
          warmupPerS: 25,
        },
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 67_108_864,
        headerTimeout: '3000ms',
        idleTimeout: '15000ms',
      },
    });
    const servers = [];
    const entries = [];
    const doors = [];
    for (const machine of machines) {
      const server = new AppServer({ service: 'orderdesk', slots: 150, workMs: 60 });
      // eslint-disable-next-line no-await-in-loop
      await server.listen(ports.app, machine.ip);
      entries.push(deployment.announce(machine, server));
      servers.push(server);
      // eslint-disable-next-line no-await-in-loop
      doors.push(await deployment.openDoor(machine));
      // eslint-disable-next-line no-await-in-loop
      await deployment.startNode(machine);
    }
    await Promise.all(machines.map((machine) => deployment.waitUntilReady(machine)));
    await sleep(TOUCH_MS);
    const startedAt = performance.now();
    const now = () => Math.round(performance.now() - startedAt);
    const traffic = { isOver: false };
    const calls = [];
    const seen = new Map();
    const sending = (async () => {
      for (let sent = 0; !traffic.isOver; sent += 1) {
        const { ip } = machines[sent % machines.length];
        calls.push(
          call({
            ip,
            port: ports.outbound,
            host: HOST,
            path: `/order/${sent}`,
            method: 'POST',
            timeoutMs: 3000,
          }).then(({ status, reason }) => {
            const what = status === null ? `no answer (${reason})` : String(status);
            seen.set(what, (seen.get(what) ?? 0) + 1);
          }),
        );
        // eslint-disable-next-line no-await-in-loop
        await sleep(Math.max(0, ((sent + 1) * 1000) / REQUESTS_PER_S - now()));
      }
    })();
    /** Removes the entry of a server, which serves on for a while, and counts what comes late. */
    const leave = async (index) => {
      const server = servers[index];
      const { name } = machines[index];
      entries[index].stop();
      store.remove(`servers/${server.id}`);
      const removedAt = performance.now();
      log(`${now()} ms: the entry of the server of ${name} is removed`);
      await sleep(SERVES_ON_MS);
      const late = server.runs
        .map(({ at }) => Math.round(at - removedAt))
        .filter((afterMs) => afterMs > DRAIN_MS);
      const last = late.length === 0 ? '' : `, the last after ${late.at(-1)} ms`;
      log(`${late.length} requests reached that of ${name} later than ${DRAIN_MS} ms${last}`);
      server.born = Date.now();
      entries[index] = deployment.announce(machines[index], server);
      return late.length;
    };
    for (const [first, second] of ROUNDS) {
      doors[first].isShut = isTrouble;
      doors[second].isShut = isTrouble;
      // eslint-disable-next-line no-await-in-loop
      await sleep(SILENT_MS);
      doors[first].isShut = false;
      doors[second].isShut = false;
      // eslint-disable-next-line no-await-in-loop
      await sleep(TOUCH_MS + 50);
      const firstLeft = leave(first);
      // eslint-disable-next-line no-await-in-loop
      await sleep(LEAVING_GAP_MS);
      // eslint-disable-next-line no-await-in-loop
      const counts = await Promise.all([firstLeft, leave(second)]);
      if (counts.some((count) => count > 0)) isBroken = true;
    }
    traffic.isOver = true;
    await sending;
    await Promise.all(calls);
    log(`sent: ${calls.length} requests`);
    [...seen].sort().forEach(([what, count]) => log(`answered: ${what}: ${count}`));
  } finally {
    await deployment.close();
  }
  log(isBroken ? 'DRAIN: broken' : 'DRAIN: held');
  return isBroken ? 1 : 0;
}

let exitCode = 2;
try {
  exitCode = await main();
} catch (error) {
  log(`the case could not run: ${error.stack}`);
}
await writeFile(new URL('record.txt', import.meta.url), `${record.join('\n')}\n`);
process.exit(exitCode);
