import { setTimeout as sleep } from 'node:timers/promises';
import { createCallerAgent, sendRequest, type HttpResponse } from '../bench/http-call.js';
import { Deployment } from '../bench/deployment.js';
import { warmUp } from '../bench/run.js';
import { KELPIE, type BenchAccount } from '../bench/topology.js';
import type { OrderRun } from '../standin/backend-server.js';
import { fetchText } from '../bench/child.js';
import { runPlatformDemo } from './platform.js';

/** Result of one step of the demo. */
interface StepResult {
  readonly hasPassed: boolean;
  readonly text: string;
}

/** A request of the demo; `entry` is the index of the node that receives it. */
interface DemoRequest {
  readonly method?: string;
  readonly path: string;
  readonly key: string;
  readonly entry?: number;
  readonly body?: string;
  readonly orderId?: string;
}

const SEED = 1;
const WARM_UP_PER_S = 60;
const WARM_UP_LIMIT_MS = 15_000;
const REQUEST_TIMEOUT_MS = 2000;
const WITHDRAWAL_LIMIT_MS = 3000;
const STOP_LOAD_MS = 1500;
const STOP_LOAD_INTERVAL_MS = 20;
const EXIT_FAILED = 1;
const EXIT_PROMISE_BROKEN = 5;

const ORDER_PATH = '/orderdesk/orders';
const LOOKUP_PATH = '/stockroom/blocks/42';

const agent = createCallerAgent();
const deployment = new Deployment(KELPIE, 'almondhoist', SEED);

function accountAt(index: number): BenchAccount {
  const found = KELPIE.accounts.at(index);
  if (found === undefined) throw new Error(`the deployment has no account ${index}`);
  return found;
}

function sendDemoRequest({ method = 'GET', path, key, entry = 0, body, orderId }: DemoRequest) {
  return sendRequest(agent, {
    url: `${deployment.entries[entry]}${path}`,
    method,
    headers: {
      authorization: `Bearer ${key}`,
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(orderId === undefined ? {} : { 'almondhoist-order-id': orderId }),
    },
    body: body ?? null,
    timeoutMs: REQUEST_TIMEOUT_MS,
  });
}

function describeResponse({ status, headers }: HttpResponse): string {
  const notRun = headers['almondhoist-not-run'] === 'true' ? ', not run' : '';
  return `${status} (code ${String(headers['almondhoist-code'])}${notRun})`;
}

async function fetchOrderRuns(order: string): Promise<readonly OrderRun[]> {
  const lists = await Promise.all(
    deployment.servers.map(async ({ url }) => {
      const text = await fetchText(`${url}/standin/runs`);
      return JSON.parse(text) as readonly OrderRun[];
    }),
  );
  return lists.flat().filter((run) => run.order === order && run.path === 'POST orders');
}

async function checkValidKey(): Promise<StepResult> {
  const response = await sendDemoRequest({ path: LOOKUP_PATH, key: accountAt(3).key });
  return {
    hasPassed: response.status === 200,
    text: `a lookup with a valid key: ${describeResponse(response)}`,
  };
}

async function checkInvalidKey(): Promise<StepResult> {
  const response = await sendDemoRequest({ path: LOOKUP_PATH, key: 'a-wrong-key-that-nobody-has' });
  return {
    hasPassed: response.status === 401,
    text: `the same lookup with an unknown key: ${describeResponse(response)}`,
  };
}

async function checkOrderRunsOnce(): Promise<StepResult> {
  const order = { method: 'POST', path: ORDER_PATH, key: accountAt(3).key };
  const body = JSON.stringify({ order: 900_001 });
  const first = await sendDemoRequest({ ...order, body });
  const orderId = String(first.headers['almondhoist-order-id']);
  const placed = await sendDemoRequest({ ...order, body, orderId });
  const repeated = await sendDemoRequest({ ...order, body, orderId, entry: 7 });
  const { length } = await fetchOrderRuns('900001');
  const hasPassed = placed.status === 200 && repeated.status === 200 && length === 1;
  return {
    hasPassed,
    text:
      `a cut order (orderdesk calls planner, which calls stockroom): ${describeResponse(first)} ` +
      `with an order identifier, then ${describeResponse(placed)}; repeated through another node ` +
      `${describeResponse(repeated)}; number of runs: ${length}`,
  };
}

async function checkRateLimit(): Promise<StepResult> {
  const { key, burst, ratePerSecond } = accountAt(4);
  const requestCount = burst * 3;
  const startMs = performance.now();
  const responses = await Promise.all(
    Array.from({ length: requestCount }, (_, index) =>
      sendDemoRequest({ path: LOOKUP_PATH, key, entry: index % deployment.entries.length }),
    ),
  );
  const elapsedS = (performance.now() - startMs) / 1000;
  const refused = responses.filter(({ status }) => status === 429).length;
  const admitted = requestCount - refused;
  const bound = Math.floor(burst + ratePerSecond * elapsedS);
  return {
    hasPassed: refused > 0 && admitted <= bound,
    text:
      `${requestCount} calls at once by an account with burst ${burst} and rate ${ratePerSecond}/s: ` +
      `${refused} refused with 429, ${admitted} admitted in ${elapsedS.toFixed(1)} s ` +
      `(at most ${bound})`,
  };
}

async function checkWithdrawnKey(): Promise<StepResult> {
  const { key, name } = accountAt(5);
  const before = await sendDemoRequest({ path: LOOKUP_PATH, key });
  const startMs = performance.now();
  await deployment.apply({ kind: 'withdraw', accounts: [name] });
  const countAccepting = async (): Promise<number> => {
    const responses = await Promise.all(
      deployment.entries.map((_, entry) => sendDemoRequest({ path: LOOKUP_PATH, key, entry })),
    );
    return responses.filter(({ status }) => status !== 401).length;
  };
  let accepting = await countAccepting();
  while (accepting > 0 && performance.now() - startMs < WITHDRAWAL_LIMIT_MS) {
    await sleep(20);
    accepting = await countAccepting();
  }
  const elapsedMs = performance.now() - startMs;
  return {
    hasPassed: before.status === 200 && accepting === 0,
    text:
      `a withdrawn key on open connections: ${describeResponse(before)} before; ${accepting} of ` +
      `${deployment.entries.length} nodes accept it after ${elapsedMs.toFixed(0)} ms`,
  };
}

async function checkPlannedStop(): Promise<StepResult> {
  const stopped = deployment.servers.findIndex(({ name }) => name === 'planner-clyde-a');
  const entries = deployment.entries.map((_, index) => index).filter((index) => index !== stopped);
  const responses: Promise<string>[] = [];
  const endMs = performance.now() + STOP_LOAD_MS;
  const stop = sleep(STOP_LOAD_MS / 3).then(() => deployment.stopNode('planner-clyde-a'));
  while (performance.now() < endMs) {
    const entry = entries[responses.length % entries.length] ?? 0;
    const check = { method: 'POST', path: '/planner/plans/check', key: accountAt(0).key, entry };
    const body = JSON.stringify({ order: responses.length });
    responses.push(
      sendDemoRequest({ ...check, body }).then(describeResponse, () => 'connection lost'),
    );
    await sleep(STOP_LOAD_INTERVAL_MS);
  }
  const statuses = await Promise.all(responses);
  const exitCode = await stop;
  const failed = statuses.filter((status) => !status.startsWith('200'));
  const succeeded = statuses.length - failed.length;
  const others = failed.length === 0 ? '' : `; others: ${failed.join('; ')}`;
  return {
    hasPassed: succeeded === statuses.length && exitCode === 0,
    text:
      `a planned stop of the node beside planner-clyde-a under load: ${succeeded} of ` +
      `${statuses.length} plan checks answered with 200, exit code ${exitCode}${others}`,
  };
}

async function checkPromises(): Promise<StepResult> {
  const broken = await deployment.countBrokenPromises(0);
  const total = Object.values(broken).reduce((sum, count) => sum + count, 0);
  return { hasPassed: total === 0, text: `broken promises: ${JSON.stringify(broken)}` };
}

async function runDemo(): Promise<boolean> {
  console.log('starting 12 nodes, 12 backend servers and a configuration service');
  await deployment.start();
  console.log('waiting for tokens: quota servers grant none in the first 6 s after their start');
  await warmUp(deployment, WARM_UP_PER_S, WARM_UP_LIMIT_MS);
  const steps = [
    checkValidKey,
    checkInvalidKey,
    checkOrderRunsOnce,
    checkRateLimit,
    checkWithdrawnKey,
    checkPlannedStop,
    checkPromises,
  ];
  let hasAllPassed = true;
  for (const step of steps) {
    const { hasPassed, text } = await step();
    console.log(`${hasPassed ? 'ok    ' : 'BROKEN'} ${text}`);
    hasAllPassed &&= hasPassed;
  }
  return hasAllPassed;
}

try {
  const isOnPlatform = process.argv.includes('--platform');
  const hasAllPassed = await (isOnPlatform ? runPlatformDemo() : runDemo());
  process.exitCode = hasAllPassed ? 0 : EXIT_PROMISE_BROKEN;
} catch (error) {
  console.error(`the demo failed: ${String(error)}`);
  process.exitCode = EXIT_FAILED;
} finally {
  await deployment.stop();
  agent.destroy();
}
