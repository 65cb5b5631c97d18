// Two servers crash, one after the other, while equal calls run on them, and the requests that need such a
// call later.
import { writeFile } from 'node:fs/promises';
import { setTimeout as sleep } from 'node:timers/promises';
import { call } from '../lib-2/client.mjs';
import { Deployment } from '../lib-2/deployment.mjs';
import { AppServer } from '../lib-2/server.mjs';

const isTrouble = process.env.TROUBLE !== '0';
const HOST = 'hulo84.example';
const ROUTE_ADDED_AT_MS = 3000;
/** When two of the four servers of a service crash, one each time. */
const CRASHES_AT_MS = [12_000, 21_000];
const DOWN_MS = 4500;
const WARM_UP_MS = 3000;
/** Some time after the crashes: the servers are back and warm, and `touch` has passed. */
const STEADY_AT_MS = 36_000;
const LENGTH_MS = 60_000;
const STOCK_PER_S = 40;
const ORDERS_PER_S = 200;
const CALLS_PER_ORDER = 4;

const record = [];
const log = (line) => record.push(line);

function route(fields) {
  return { host: HOST, targetLatency: '1500ms', priority: 1, attempts: 2, public: true, ...fields };
}

const stockRoute = route({
  name: 'r-stock',
  prefix: '/stock/',
  kind: 'safe',
  timeout: '5000ms',
  service: 'stockroom',
});

const slotRoute = route({
  name: 'r-slot',
  prefix: '/slot/',
  kind: 'safe',
  timeout: '700ms',
  service: 'dispatch',
});

const orderRoute = route({
  name: 'r-order',
  prefix: '/order/',
  kind: 'unsafe',
  timeout: '5000ms',
  service: 'orderdesk',
});

function configuration(version, routes) {
  return {
    version,
    routes,
    services: ['stockroom', 'orderdesk', 'dispatch'].map((name) => ({
      name,
      healthPath: '/healthz',
      maxConnections: 1000,
      protocol: 'h1',
      tls: false,
      warmup: `${WARM_UP_MS}ms`,
      warmupPerS: 25,
    })),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 67_108_864,
      headerTimeout: '3000ms',
      idleTimeout: '15000ms',
    },
  };
}

/** Counts the answers to the requests of one route. */
class Tally {
  #seen = new Map();

  constructor(name) {
    this.name = name;
  }

  add({ status, reason }) {
    const what = status === null ? `no answer (${reason})` : String(status);
    this.#seen.set(what, (this.#seen.get(what) ?? 0) + 1);
  }

  get sent() {
    return [...this.#seen.values()].reduce((sum, count) => sum + count, 0);
  }

  get servedShare() {
    return (this.#seen.get('200') ?? 0) / Math.max(1, this.sent);
  }

  toString() {
    const counts = [...this.#seen].sort().map(([what, count]) => `${what}: ${count}`);
    return `${this.name}: ${this.sent} sent; ${counts.join(', ')}`;
  }
}

async function main() {
  const deployment = await Deployment.create([
    { name: 'dispatch-1', service: 'dispatch', zone: 'lowland-a', slots: 20, workMs: 30 },
    { name: 'dispatch-2', service: 'dispatch', zone: 'lowland-b', slots: 20, workMs: 30 },
    { name: 'dispatch-3', service: 'dispatch', zone: 'lowland-a', slots: 20, workMs: 30 },
    { name: 'dispatch-4', service: 'dispatch', zone: 'lowland-b', slots: 20, workMs: 30 },
    { name: 'orderdesk-1', service: 'orderdesk', zone: 'lowland-a', slots: 150, workMs: 120 },
    { name: 'orderdesk-2', service: 'orderdesk', zone: 'lowland-b', slots: 150, workMs: 120 },
    { name: 'stockroom-1', service: 'stockroom', zone: 'lowland-a', slots: 120, workMs: 90 },
    { name: 'stockroom-2', service: 'stockroom', zone: 'lowland-b', slots: 120, workMs: 90 },
  ]);
  let isBroken = false;
  try {
    const { ports, store, machines } = deployment;
    store.put('op/config', configuration(7, [stockRoute, slotRoute]));
    const callTally = new Tally('steady: calls for slots by orders');
    const entries = [];
    const servers = [];
    const phase = { isSteady: false };
    for (const machine of machines) {
      const { service, slots, workMs, ip } = machine;
      const server = new AppServer({ service, slots, workMs });
      if (service === 'orderdesk') {
        // An order looks up the free slots, a few times, at the address of its own machine.
        server.makeCalls = async () => {
          for (let made = 0; made < CALLS_PER_ORDER; made += 1) {
            // eslint-disable-next-line no-await-in-loop
            const seen = await call({
              ip,
              port: ports.outbound,
              host: HOST,
              path: '/slot/today',
              timeoutMs: 700,
            });
            if (phase.isSteady) callTally.add(seen);
            if (seen.status !== 200) return false;
          }
          return true;
        };
      }
      // eslint-disable-next-line no-await-in-loop
      await server.listen(ports.app, ip);
      entries.push(deployment.announce(machine, server));
      servers.push(server);
      // eslint-disable-next-line no-await-in-loop
      await deployment.startNode(machine);
    }
    await Promise.all(machines.map((machine) => deployment.waitUntilReady(machine)));
    await sleep(3000);
    const startedAt = performance.now();
    const now = () => Math.round(performance.now() - startedAt);
    setTimeout(() => {
      store.put('op/config', configuration(12, [stockRoute, slotRoute, orderRoute]));
      log(`${now()} ms: version 12 adds the route of orders`);
    }, ROUTE_ADDED_AT_MS);
    const crash = (index) => {
      const server = servers[index];
      const { name, ip } = machines[index];
      log(`${now()} ms: ${name} crashes with ${server.running} requests`);
      entries[index].stop();
      server.close();
      setTimeout(async () => {
        server.born = Date.now();
        server.becomeCold(WARM_UP_MS);
        await server.listen(ports.app, ip);
        entries[index] = deployment.announce(machines[index], server);
        log(`${now()} ms: ${name} is back`);
      }, DOWN_MS);
    };
    if (isTrouble) CRASHES_AT_MS.forEach((at, index) => setTimeout(() => crash(index), at));
    const stock = new Tally('steady: first route, stock');
    const orders = new Tally('steady: later route, orders');
    const before = new Tally('before the crashes: later route, orders');
    const calls = [];
    const send = ({ ip }, path, method, tally) =>
      calls.push(
        call({ ip, port: ports.outbound, host: HOST, path, method, timeoutMs: 5000 }).then((seen) =>
          tally?.add(seen),
        ),
      );
    const front = machines.slice(6);
    const perS = STOCK_PER_S + ORDERS_PER_S;
    for (let sent = 0; now() < LENGTH_MS; sent += 1) {
      phase.isSteady = now() >= STEADY_AT_MS;
      const { isSteady } = phase;
      const machine = front[Math.floor(sent / 6) % front.length];
      if (sent % 6 === 0) send(machine, `/stock/${sent}`, 'GET', isSteady ? stock : null);
      else if (now() >= ROUTE_ADDED_AT_MS + 3000) {
        const early = now() < CRASHES_AT_MS[0] - 1000 ? before : null;
        send(machine, `/order/${sent}`, 'POST', isSteady ? orders : early);
      }
      // eslint-disable-next-line no-await-in-loop
      await sleep(Math.max(0, ((sent + 1) * 1000) / perS - now()));
    }
    await Promise.all(calls);
    [before, stock, orders, callTally].forEach((tally) => log(String(tally)));
    const logs = await Promise.all(machines.map((machine) => deployment.logOf(machine)));
    const quarantined = logs.filter((text) => text.includes('"code":"quarantined"')).length;
    log(`nodes that log a quarantine: ${quarantined} of ${machines.length}`);
    isBroken = orders.sent >= 20 && orders.servedShare < stock.servedShare / 4;
  } finally {
    await deployment.close();
  }
  log(isBroken ? 'CONFIG: broken' : 'CONFIG: held');
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
