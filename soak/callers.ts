import type { Header } from '../src/core/model/call.js';
import type { EntryReply } from '../src/runtime/entry-task.js';
import type { Ask, Audit } from './audit.js';
import type { Run } from './fake-backend.js';
import type { HostUnit } from './host-unit.js';
import type { MadeUpTime } from './made-up-time.js';
import { keyOf, TARGETS } from './platform.js';
import type { Sabotage } from './sabotage.js';
import { NODES, type Step } from './step.js';

type Request = Extract<Step, { kind: 'request' }>;

/** What callers need of their surroundings. */
export interface CallersOptions {
  readonly time: MadeUpTime;
  readonly audit: Audit;
  readonly sabotage: Sabotage | null;
  readonly host: (name: string) => HostUnit;
  /** A request of a caller was answered. */
  readonly replied: (host: HostUnit, ask: Ask, reply: EntryReply) => void;
}

const DEEPER_TIMEOUT_MS = 3000;

/** Callers, and backend servers in the role of callers. */
export class Callers {
  readonly #options: CallersOptions;

  readonly #orderIds = new Map<string, string>();

  readonly #open = new Map<string, { readonly host: HostUnit; readonly ask: Ask }>();

  #asked = 0;

  constructor(options: CallersOptions) {
    this.#options = options;
  }

  /** Lists the requests that have no answer yet. */
  get open(): readonly { readonly host: HostUnit; readonly ask: Ask }[] {
    return [...this.#open.values()];
  }

  /** The connections of callers break with their node. */
  forget(host: HostUnit): void {
    this.#open.forEach((open, id) => {
      if (open.host === host) this.#open.delete(id);
    });
  }

  load({ perSecond, ms, mark, ...load }: Extract<Step, { kind: 'load' }>): void {
    for (let index = 0; index < (perSecond * ms) / 1000; index += 1) {
      this.#options.time.after(null, (index * 1000) / perSecond, () => {
        const node = load.node === 'any' ? (NODES[index % NODES.length] ?? '') : load.node;
        this.request({ ...load, kind: 'request', node, mark: `${mark}-${index}` });
      });
    }
  }

  request(step: Request): void {
    const { sabotage, host: find } = this.#options;
    const host = find(step.node);
    if (!host.takesRequests) return;
    const [service, method, segment] = TARGETS[step.route];
    const path = `/${segment}/${step.mark}`;
    const key = keyOf(sabotage === 'other-key' ? 'shop' : step.account);
    const isLeak = step.route === 'leak';
    const headers: readonly Header[] = [
      ['authorization', `Bearer ${key}`],
      ...(isLeak ? ([['x-note', key]] as const) : []),
      ...(sabotage === 'hidden-key' ? ([['x-note', [...key].reverse().join('')]] as const) : []),
    ];
    this.#send({
      host,
      ask: { ...this.#newAsk(step), path, isRoot: true },
      method,
      target: `/${service}${path}${isLeak ? `?k=${key}` : ''}`,
      headers: step.route === 'open' ? [] : headers,
      onReply: () => {},
    });
  }

  /** Makes a call of a run through the node beside the backend server. */
  callDeeper(run: Run, target: string): Promise<boolean> {
    const { time, audit, host: find } = this.#options;
    const host = find(run.server);
    const parent = audit.asks.get(run.headers.get('x-attempt') ?? '');
    const [, , segment, mark = ''] = target.split('/');
    return new Promise((resolve) => {
      time.after(null, DEEPER_TIMEOUT_MS, () => resolve(false));
      if (parent === undefined || !host.process.isAlive) return;
      const { route, account } = parent;
      this.#send({
        host,
        ask: {
          ...this.#newAsk({ mark, route, account }),
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

  #newAsk({ mark, route, account }: Omit<Request, 'kind' | 'node'>): Omit<Ask, 'path' | 'isRoot'> {
    this.#asked += 1;
    const sentAt = this.#options.time.now;
    return { id: `${mark}#${this.#asked}`, mark, route, account, sentAt };
  }

  #send(message: {
    readonly host: HostUnit;
    readonly ask: Ask;
    readonly method: string;
    readonly target: string;
    readonly headers: readonly Header[];
    readonly onReply: (reply: EntryReply) => void;
  }): void {
    const { host, ask, method, target, headers, onReply } = message;
    const { time, audit, replied } = this.#options;
    const { process, node } = host;
    if (node === null) return;
    this.#open.set(ask.id, { host, ask });
    time.after(process, 1, () => {
      const raw = {
        requestId: node.front.newRequestId(),
        receivedAt: time.now + process.clockOffset,
        method,
        target,
        headers: [...headers, ['x-attempt', ask.id] as const],
        body: new Uint8Array(),
      };
      audit.asked(ask, raw.requestId);
      if (ask.isRoot && ask.route === 'order' && !this.#orderIds.has(ask.mark)) {
        const { orderId } = node.front.issueOrder(raw);
        if (orderId !== null) this.#orderIds.set(ask.mark, orderId);
      }
      const orderId = ask.isRoot ? this.#orderIds.get(ask.mark) : undefined;
      const order = orderId === undefined ? [] : [['almondhoist-order-id', orderId] as const];
      void node.front.handle({ ...raw, headers: [...raw.headers, ...order] }).then((reply) => {
        this.#open.delete(ask.id);
        audit.replied(ask, reply);
        if (ask.isRoot) replied(host, ask, reply);
        time.after(null, 1, () => onReply(reply));
      });
    });
  }
}
