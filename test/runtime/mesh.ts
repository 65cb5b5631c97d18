// Must be imported before the logging library.
import '../../src/runtime/enable-roarr.js';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { TestContext } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { ROARR } from 'roarr';
import { Agent, request } from 'undici';
import { bundleDocument } from '../../src/core/configuration/bundle.js';
import { toDocument } from '../../src/core/configuration/document.js';
import { hashKey } from '../../src/core/configuration/key-hash.js';
import type { Configuration, Route } from '../../src/core/model/configuration.js';
import type { Settings } from '../../src/core/settings/settings.js';
import { Node, type Ports } from '../../src/runtime/node.js';
import type { TlsMaterial } from '../../src/runtime/tls-material.js';
import { ConfigurationService } from '../../standin/configuration-service.js';
import { listen, readBody } from '../../standin/process.js';
import { valueOf } from '../results.js';

/** Key of the account that may call both services. */
export const ACCOUNT_KEY = 'ah_test-key-of-workshop-paisley-0123456789';
export const PEER_SECRET = 'secret-of-the-test-fleet-0123456789';
export const MAX_BODY_BYTES = 4096;
/** Deadline of the routes for tests in which the deadline passes. */
const SHORT_DEADLINE_MS = 300;
const DEADLINE_MS = 10_000;

/** Handles one request at a backend server, after its body has been read. */
export type Handler = (
  incoming: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void | Promise<void>;

/** Options of a mesh. */
export interface MeshOptions {
  /** Handlers by the last path segment; other requests are answered with 200 and their body. */
  readonly handlers?: Readonly<Record<string, Handler>>;
  readonly tls?: TlsMaterial;
}

/** One node of the mesh. */
export interface MeshNode {
  readonly name: string;
  readonly url: string;
  readonly ports: Ports;
}

/** Request that a test sends as a caller. */
export interface MeshRequest {
  readonly method?: string;
  readonly headers?: readonly string[];
  readonly body?: string | Uint8Array;
  readonly signal?: AbortSignal;
}

/** Answer that the caller received. */
export interface MeshAnswer {
  readonly status: number;
  /** Number in the header `almondhoist-code`, or null without the header. */
  readonly code: number | null;
  readonly isNotRun: boolean;
  readonly orderId: string | null;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly text: string;
}

/** Three nodes with backend servers and a configuration service on the loopback interface. */
export interface Mesh {
  /** The node beside `front-1`; calls to the service `desk` cross a link to another node. */
  readonly entry: MeshNode;
  readonly nodes: readonly MeshNode[];
  readonly send: (target: string, sent?: MeshRequest) => Promise<MeshAnswer>;
  /** @returns all bytes that the backend servers received */
  readonly received: () => string;
  /** @returns all log lines of the nodes */
  readonly logLines: () => readonly string[];
  /** Publishes a value without checking that it is well formed. */
  readonly publish: (name: string, text: string) => Promise<number>;
  readonly publishConfiguration: (configuration: Configuration) => Promise<void>;
}

const ZONE = 'clyde-a';
const BACKEND_SERVERS = [
  { name: 'front-1', service: 'front' },
  { name: 'desk-1', service: 'desk' },
  { name: 'desk-2', service: 'desk' },
] as const;
const POLL_INTERVAL_MS = 20;
const MAX_POLLS = 500;

/**
 * Polls until a condition is met, and fails after a bounded number of polls.
 *
 * @param description - name of the condition in the error message
 * @param isMet - the condition
 */
export async function waitUntil(
  description: string,
  isMet: () => boolean | Promise<boolean>,
): Promise<void> {
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    if (await isMet()) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`no ${description} after ${MAX_POLLS * POLL_INTERVAL_MS} ms`);
}

function route(line: string, idempotent: boolean, overrides: Partial<Route> = {}): Route {
  const [name = '', method = '', path = ''] = line.split(' ');
  const common = { importance: 'normal', deadlineMs: DEADLINE_MS, retries: 2 } as const;
  return {
    name,
    service: 'desk',
    method,
    path,
    idempotent,
    access: 'open',
    ...common,
    ...overrides,
  };
}

/**
 * Builds the configuration of the mesh. All routes but one are open, so that tests need no credit.
 *
 * @param revision - number of the revision
 * @returns the configuration
 */
export function meshConfiguration(revision: number): Configuration {
  const capacity = { slots: 64, connections: 256, coldCapacity: 64 };
  return {
    revision,
    seats: ['front-1'],
    zones: [{ name: ZONE, region: 'clyde', state: 'in' }],
    services: [{ name: 'front' }, { name: 'desk' }],
    backendServers: BACKEND_SERVERS.map((server) => ({ ...server, zone: ZONE, ...capacity })),
    accounts: [
      {
        name: 'workshop-paisley',
        keyHashes: [hashKey(ACCOUNT_KEY)],
        ratePerSecond: 100,
        burst: 100,
        weight: 1,
        services: ['front', 'desk'],
      },
    ],
    routes: [
      route('read GET /read/*', true),
      route('front-read GET /read/*', true, { service: 'front' }),
      route('check POST /check/*', true),
      route('order POST /orders/*', false),
      route('late-read GET /late/*', true, { deadlineMs: SHORT_DEADLINE_MS }),
      route('late-order POST /late-orders/*', false, { deadlineMs: SHORT_DEADLINE_MS }),
      route('keyed POST /keyed/*', true, { access: 'keyed' }),
    ],
  };
}

function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}

async function openBackend(
  context: TestContext,
  handlers: Readonly<Record<string, Handler>>,
  record: (chunk: Buffer) => void,
): Promise<string> {
  const answer = async (incoming: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(incoming);
    const lastSegment = (incoming.url ?? '').split('?', 1)[0]?.split('/').at(-1) ?? '';
    const handler = handlers[lastSegment];
    if (handler === undefined) response.end(body);
    else await handler(incoming, response, body);
  };
  const server = createServer((incoming, response) => {
    // There is nothing to answer if the caller disconnects while its body is read.
    answer(incoming, response).catch(() => response.destroy());
  });
  server.on('connection', (socket) => socket.on('data', record));
  context.after(() => closeServer(server));
  return `http://127.0.0.1:${await listen(server, 0)}`;
}

/**
 * Builds the settings of one node with ports that the system chooses.
 *
 * @param backendServer - name of its backend server
 * @param backendServerUrl - URL of its backend server
 * @param configurationServiceUrl - URL of the configuration service
 * @returns the settings
 */
export function nodeSettings(
  backendServer: string,
  backendServerUrl: string,
  configurationServiceUrl: string,
): Settings {
  const address = { host: '127.0.0.1', port: 0 };
  return {
    backendServer,
    zone: ZONE,
    callerAddress: address,
    peerAddress: address,
    metricsAddress: null,
    backendServerUrl,
    configurationServiceUrls: [configurationServiceUrl],
    peerSecret: PEER_SECRET,
    seeds: [],
    maxBodyBytes: MAX_BODY_BYTES,
    stopDeadlineMs: 2000,
    isolationLimitMs: 5000,
    staleLimitMs: 0,
    tls: null,
  };
}

function singleValue(value: string | readonly string[] | undefined): string | null {
  return typeof value === 'string' ? value : null;
}

/**
 * Opens a mesh and waits until its entry reaches the service `desk`. Everything is closed at the
 * end of the test.
 *
 * @param context - the test that owns the mesh
 * @param options - handlers of the backend servers and TLS
 * @returns the mesh
 */
export async function openMesh(context: TestContext, options: MeshOptions = {}): Promise<Mesh> {
  const { handlers = {}, tls } = options;
  const received: Buffer[] = [];
  const lines: string[] = [];
  const service = new ConfigurationService();
  const serviceUrl = `http://127.0.0.1:${await listen(service.server, 0)}`;
  const control = `http://127.0.0.1:${await listen(service.controlServer, 0)}`;
  context.after(() => [service.server, service.controlServer].forEach(closeServer));
  const agent = new Agent(tls === undefined ? {} : { connect: { ca: tls.ca } });
  context.after(() => agent.destroy());

  const publish = async (name: string, text: string): Promise<number> => {
    const body = JSON.stringify({ kind: 'publish', name, text });
    const answer = await request(control, { method: 'POST', body, dispatcher: agent });
    await answer.body.dump();
    return answer.statusCode;
  };
  const publishConfiguration = async (configuration: Configuration): Promise<void> => {
    const { parts, manifestText } = valueOf(bundleDocument(toDocument(configuration)));
    for (const [digest, text] of parts) await publish(`configuration/parts/${digest}`, text);
    await publish('configuration/manifest', manifestText);
  };
  await publishConfiguration(meshConfiguration(1));

  const nodes: MeshNode[] = [];
  for (const { name } of BACKEND_SERVERS) {
    const backendUrl = await openBackend(context, handlers, (chunk) => received.push(chunk));
    const node = new Node(nodeSettings(name, backendUrl, serviceUrl), tls ?? null);
    // Replaces the writer that the node installed, so that tests can read the log lines.
    ROARR.write = (line) => lines.push(line);
    const ports = valueOf(await node.start());
    context.after(() => node.stop());
    const scheme = tls === undefined ? 'http' : 'https';
    nodes.push({ name, url: `${scheme}://127.0.0.1:${ports.caller}`, ports });
  }
  const hosts = BACKEND_SERVERS.map(({ name, service: offered }, index) => ({
    backendServer: name,
    service: offered,
    zone: ZONE,
    peerAddress: `127.0.0.1:${nodes[index]?.ports.peer}`,
    state: 'live',
  }));
  await publish(`hosts/${ZONE}`, JSON.stringify({ version: 1, hosts }));
  const [entry] = nodes;
  if (entry === undefined) throw new Error('the mesh has no node');

  const send = async (target: string, sent: MeshRequest = {}): Promise<MeshAnswer> => {
    const { method = 'GET', headers = [], body, signal } = sent;
    const answer = await request(`${entry.url}${target}`, {
      method: method as 'GET',
      headers: [...headers],
      body: body ?? null,
      dispatcher: agent,
      ...(signal === undefined ? {} : { signal }),
    });
    const text = await answer.body.text();
    const code = singleValue(answer.headers['almondhoist-code']);
    return {
      status: answer.statusCode,
      code: code === null ? null : Number(code),
      isNotRun: answer.headers['almondhoist-not-run'] === 'true',
      orderId: singleValue(answer.headers['almondhoist-order-id']),
      headers: answer.headers,
      text,
    };
  };
  await waitUntil(
    'answer of the service desk',
    async () => (await send('/desk/read/start')).code === 0,
  );
  return {
    entry,
    nodes,
    send,
    received: () => Buffer.concat(received).toString('latin1'),
    logLines: () => lines,
    publish,
    publishConfiguration,
  };
}

/**
 * Waits for a log line with a result code.
 *
 * @param mesh - the mesh
 * @param code - number of the result code
 * @param from - number of lines to skip
 */
export async function waitUntilLogged(mesh: Mesh, code: number, from = 0): Promise<void> {
  await waitUntil(`log line with the code ${code}`, () =>
    mesh
      .logLines()
      .slice(from)
      .some((line) => line.includes(`"codeNumber":${code}`)),
  );
}

/**
 * Requests an order identifier.
 *
 * @param mesh - the mesh
 * @returns an identifier whose home is the entry
 */
export async function newOrderId(mesh: Mesh): Promise<string> {
  const { orderId } = await mesh.send('/almondhoist/orders', { method: 'POST' });
  if (orderId === null) throw new Error('the entry issued no order identifier');
  return orderId;
}
