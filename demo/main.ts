import { setTimeout as sleep } from 'node:timers/promises';
import { callerAgent, sendCall, type HttpAnswer } from '../bench/http-call.js';
import { Deployment } from '../bench/deployment.js';
import { warmUp } from '../bench/run.js';
import { KELPIE, type BenchAccount } from '../bench/topology.js';
import type { OrderRun } from '../standin/backend-server.js';
import { fetchText } from '../bench/child.js';
import { playOnPlatform } from './platform.js';

/** What one step of the demo found. */
interface Finding {
  readonly holds: boolean;
  readonly text: string;
}

/** A call of the demo. */
interface DemoCall {
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
const CALL_TIMEOUT_MS = 2000;
const WITHDRAWAL_LIMIT_MS = 3000;
const STOP_LOAD_MS = 1500;
const STOP_LOAD_GAP_MS = 20;
const EXIT_FAILED = 1;
const EXIT_PROMISE_BROKEN = 5;

const ORDER_PATH = '/orderdesk/orders';
const LOOKUP_PATH = '/stockroom/blocks/42';

const agent = callerAgent();
const deployment = new Deployment(KELPIE, 'almondhoist', SEED);

function account(at: number): BenchAccount {
  const found = KELPIE.accounts.at(at);
  if (found === undefined) throw new Error(`the deployment has no account ${at}`);
  return found;
}

function call({ method = 'GET', path, key, entry = 0, body, orderId }: DemoCall) {
  return sendCall(agent, {
    url: `${deployment.entries[entry]}${path}`,
    method,
    headers: {
      authorization: `Bearer ${key}`,
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(orderId === undefined ? {} : { 'almondhoist-order-id': orderId }),
    },
    body: body ?? null,
    timeoutMs: CALL_TIMEOUT_MS,
  });
}

function codeOf({ status, headers }: HttpAnswer): string {
  const notRun = headers['almondhoist-not-run'] === 'true' ? ', not run' : '';
  return `${status} (code ${String(headers['almondhoist-code'])}${notRun})`;
}

async function runsOf(order: string): Promise<readonly OrderRun[]> {
  const lists = await Promise.all(
    deployment.servers.map(async ({ url }) => {
      const text = await fetchText(`${url}/standin/runs`);
      return JSON.parse(text) as readonly OrderRun[];
    }),
  );
  return lists.flat().filter((one) => one.order === order && one.path === 'POST orders');
}

async function goodKey(): Promise<Finding> {
  const answer = await call({ path: LOOKUP_PATH, key: account(3).key });
  return { holds: answer.status === 200, text: `a lookup with a good key: ${codeOf(answer)}` };
}

async function wrongKey(): Promise<Finding> {
  const answer = await call({ path: LOOKUP_PATH, key: 'a-wrong-key-that-nobody-has' });
  return { holds: answer.status === 401, text: `the same with a wrong key: ${codeOf(answer)}` };
}

async function orderOnce(): Promise<Finding> {
  const order = { method: 'POST', path: ORDER_PATH, key: account(3).key };
  const body = JSON.stringify({ order: 900_001 });
  const first = await call({ ...order, body });
  const orderId = String(first.headers['almondhoist-order-id']);
  const placed = await call({ ...order, body, orderId });
  const repeated = await call({ ...order, body, orderId, entry: 7 });
  const { length } = await runsOf('900001');
  const holds = placed.status === 200 && repeated.status === 200 && length === 1;
  return {
    holds,
    text:
      `a cut order (orderdesk calls planner, which calls stockroom): ${codeOf(first)} with an ` +
      `order identifier, then ${codeOf(placed)}; repeated through another node ` +
      `${codeOf(repeated)}; it ran ${length} time(s)`,
  };
}

async function overRate(): Promise<Finding> {
  const { key, burst, ratePerSecond } = account(4);
  const wanted = burst * 3;
  const startMs = performance.now();
  const answers = await Promise.all(
    Array.from({ length: wanted }, (_, at) =>
      call({ path: LOOKUP_PATH, key, entry: at % deployment.entries.length }),
    ),
  );
  const elapsedS = (performance.now() - startMs) / 1000;
  const refused = answers.filter(({ status }) => status === 429).length;
  const admitted = wanted - refused;
  const bound = Math.floor(burst + ratePerSecond * elapsedS);
  return {
    holds: refused > 0 && admitted <= bound,
    text:
      `${wanted} calls at once by an account with burst ${burst} and rate ${ratePerSecond}/s: ` +
      `${refused} refused with 429, ${admitted} admitted in ${elapsedS.toFixed(1)} s ` +
      `(at most ${bound})`,
  };
}

async function withdrawnKey(): Promise<Finding> {
  const { key, name } = account(5);
  const before = await call({ path: LOOKUP_PATH, key });
  const startMs = performance.now();
  await deployment.apply({ kind: 'withdraw', accounts: [name] });
  const acceptedBy = async (): Promise<number> => {
    const answers = await Promise.all(
      deployment.entries.map((_, entry) => call({ path: LOOKUP_PATH, key, entry })),
    );
    return answers.filter(({ status }) => status !== 401).length;
  };
  let accepting = await acceptedBy();
  while (accepting > 0 && performance.now() - startMs < WITHDRAWAL_LIMIT_MS) {
    await sleep(20);
    accepting = await acceptedBy();
  }
  const elapsedMs = performance.now() - startMs;
  return {
    holds: before.status === 200 && accepting === 0,
    text:
      `a withdrawn key on open connections: ${codeOf(before)} before; ` +
      `${accepting} of ${deployment.entries.length} nodes accept it after ${elapsedMs.toFixed(0)} ms`,
  };
}

async function plannedStop(): Promise<Finding> {
  const stopped = deployment.servers.findIndex(({ name }) => name === 'planner-clyde-a');
  const entries = deployment.entries.map((_, at) => at).filter((at) => at !== stopped);
  const answers: Promise<string>[] = [];
  const endMs = performance.now() + STOP_LOAD_MS;
  const stop = sleep(STOP_LOAD_MS / 3).then(() => deployment.stopNode('planner-clyde-a'));
  while (performance.now() < endMs) {
    const entry = entries[answers.length % entries.length] ?? 0;
    const check = { method: 'POST', path: '/planner/plans/check', key: account(0).key, entry };
    const body = JSON.stringify({ order: answers.length });
    answers.push(call({ ...check, body }).then(codeOf, () => 'cut off'));
    await sleep(STOP_LOAD_GAP_MS);
  }
  const statuses = await Promise.all(answers);
  const exitCode = await stop;
  const bad = statuses.filter((status) => !status.startsWith('200'));
  const good = statuses.length - bad.length;
  const others = bad.length === 0 ? '' : `; others: ${bad.join('; ')}`;
  return {
    holds: good === statuses.length && exitCode === 0,
    text:
      `a planned stop of the node beside planner-clyde-a under load: ${good} of ` +
      `${statuses.length} plan checks answered with 200, exit code ${exitCode}${others}`,
  };
}

async function promises(): Promise<Finding> {
  const broken = await deployment.broken(0);
  const total = Object.values(broken).reduce((sum, count) => sum + count, 0);
  return { holds: total === 0, text: `broken promises: ${JSON.stringify(broken)}` };
}

async function run(): Promise<boolean> {
  console.log('starting 12 nodes, 12 backend servers and a configuration service');
  await deployment.start();
  console.log('waiting for credit: a starting seat grants none for 6 s');
  await warmUp(deployment, WARM_UP_PER_S, WARM_UP_LIMIT_MS);
  const steps = [goodKey, wrongKey, orderOnce, overRate, withdrawnKey, plannedStop, promises];
  let allHold = true;
  for (const step of steps) {
    const { holds, text } = await step();
    console.log(`${holds ? 'ok    ' : 'BROKEN'} ${text}`);
    allHold &&= holds;
  }
  return allHold;
}

try {
  const isOnPlatform = process.argv.includes('--platform');
  const allHold = await (isOnPlatform ? playOnPlatform() : run());
  process.exitCode = allHold ? 0 : EXIT_PROMISE_BROKEN;
} catch (error) {
  console.error(`the demo failed: ${String(error)}`);
  process.exitCode = EXIT_FAILED;
} finally {
  await deployment.stop();
  agent.destroy();
}
