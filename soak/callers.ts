import type { Header } from '../src/core/model/call.js';
import type { EntryReply } from '../src/runtime/entry-task.js';
import type { TrackedRequest, Audit } from './audit.js';
import type { Run } from './fake-backend.js';
import type { SimulatedHost } from './simulated-host.js';
import type { SimulatedTime } from './simulated-time.js';
import { keyOf, TARGETS } from './fleet-configuration.js';
import type { InjectedDefect } from './injected-defect.js';
import { NODES, type Step } from './step.js';

type RequestStep = Extract<Step, { kind: 'request' }>;

/** Dependencies of the callers. */
export interface CallersOptions {
  readonly time: SimulatedTime;
  readonly audit: Audit;
  readonly defect: InjectedDefect | null;
  readonly findHost: (name: string) => SimulatedHost;
  /** Called when a root request is answered. */
  readonly onRootReply: (host: SimulatedHost, tracked: TrackedRequest, reply: EntryReply) => void;
}

const NESTED_CALL_TIMEOUT_MS = 3000;

/** Sends root requests of callers and nested calls of backend servers. */
export class Callers {
  readonly #options: CallersOptions;

  readonly #orderIds = new Map<string, string>();

  readonly #pending = new Map<
    string,
    { readonly host: SimulatedHost; readonly tracked: TrackedRequest }
  >();

  #sentCount = 0;

  constructor(options: CallersOptions) {
    this.#options = options;
  }

  /** Lists the requests that are not answered yet. */
  get pendingRequests(): readonly {
    readonly host: SimulatedHost;
    readonly tracked: TrackedRequest;
  }[] {
    return [...this.#pending.values()];
  }

  /** Drops the pending requests at a host whose node has ended and closed its connections. */
  dropRequests(host: SimulatedHost): void {
    this.#pending.forEach((pending, id) => {
      if (pending.host === host) this.#pending.delete(id);
    });
  }

  sendLoad({ perSecond, ms, mark, ...request }: Extract<Step, { kind: 'load' }>): void {
    for (let index = 0; index < (perSecond * ms) / 1000; index += 1) {
      this.#options.time.after(null, (index * 1000) / perSecond, () => {
        const node = request.node === 'any' ? (NODES[index % NODES.length] ?? '') : request.node;
        this.sendRequest({ ...request, kind: 'request', node, mark: `${mark}-${index}` });
      });
    }
  }

  sendRequest(step: RequestStep): void {
    const { defect, findHost } = this.#options;
    const host = findHost(step.node);
    if (!host.canTakeRequests) return;
    const [service, method, segment] = TARGETS[step.route];
    const path = `/${segment}/${step.mark}`;
    const key = keyOf(defect === 'other-key' ? 'shop' : step.account);
    const isLeak = step.route === 'leak';
    const headers: readonly Header[] = [
      ['authorization', `Bearer ${key}`],
      ...(isLeak ? ([['x-note', key]] as const) : []),
      ...(defect === 'hidden-key' ? ([['x-note', [...key].reverse().join('')]] as const) : []),
    ];
    this.#send({
      host,
      tracked: { ...this.#createRequest(step), path, isRoot: true },
      method,
      target: `/${service}${path}${isLeak ? `?k=${key}` : ''}`,
      headers: step.route === 'open' ? [] : headers,
      onReply: () => {},
    });
  }

  /** Sends a nested call of a run through the node beside its backend server. */
  sendNested(run: Run, target: string): Promise<boolean> {
    const { time, audit, findHost } = this.#options;
    const host = findHost(run.server);
    const parent = audit.trackedRequests.get(run.headers.get('x-attempt') ?? '');
    const [, , segment, mark = ''] = target.split('/');
    return new Promise((resolve) => {
      time.after(null, NESTED_CALL_TIMEOUT_MS, () => resolve(false));
      if (parent === undefined || !host.process.isAlive) return;
      const { route, account } = parent;
      this.#send({
        host,
        tracked: {
          ...this.#createRequest({ mark, route, account }),
          path: `/${segment}/${mark}`,
          isRoot: false,
        },
        method: segment === 'book' ? 'POST' : 'GET',
        target,
        headers: [['almondhoist-context', run.headers.get('almondhoist-context') ?? '']],
        onReply: (reply) => resolve(reply.status === 200),
      });
    });
  }

  #createRequest({
    mark,
    route,
    account,
  }: Omit<RequestStep, 'kind' | 'node'>): Omit<TrackedRequest, 'path' | 'isRoot'> {
    this.#sentCount += 1;
    const sentAt = this.#options.time.now;
    return { id: `${mark}#${this.#sentCount}`, mark, route, account, sentAt };
  }

  #send(message: {
    readonly host: SimulatedHost;
    readonly tracked: TrackedRequest;
    readonly method: string;
    readonly target: string;
    readonly headers: readonly Header[];
    readonly onReply: (reply: EntryReply) => void;
  }): void {
    const { host, tracked, method, target, headers, onReply } = message;
    const { time, audit, onRootReply } = this.#options;
    const { process, node } = host;
    if (node === null) return;
    this.#pending.set(tracked.id, { host, tracked });
    time.after(process, 1, () => {
      const raw = {
        requestId: node.requestHandlers.newRequestId(),
        receivedAt: time.now + process.clockOffset,
        method,
        target,
        headers: [...headers, ['x-attempt', tracked.id] as const],
        body: new Uint8Array(),
      };
      audit.recordSent(tracked, raw.requestId);
      if (tracked.isRoot && tracked.route === 'order' && !this.#orderIds.has(tracked.mark)) {
        const { orderId } = node.requestHandlers.issueOrder(raw);
        if (orderId !== null) this.#orderIds.set(tracked.mark, orderId);
      }
      const orderId = tracked.isRoot ? this.#orderIds.get(tracked.mark) : undefined;
      const order = orderId === undefined ? [] : [['almondhoist-order-id', orderId] as const];
      void node.requestHandlers
        .handle({ ...raw, headers: [...raw.headers, ...order] })
        .then((reply) => {
          this.#pending.delete(tracked.id);
          audit.recordReply(tracked, reply);
          if (tracked.isRoot) onRootReply(host, tracked, reply);
          time.after(null, 1, () => onReply(reply));
        });
    });
  }
}
