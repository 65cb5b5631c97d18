import type { Result } from 'neverthrow';
import { formatFault, type Fault } from '../core/errors/fault.js';
import type { Log } from '../core/logs/log-entry.js';
import type { Identity } from '../core/membership/handshake.js';
import type { Document } from '../core/model/document.js';
import type { BackendServerName } from '../core/model/names.js';
import type { PeerMessage } from '../core/model/peer-message.js';
import type { Clock } from '../core/model/time.js';
import type { ViolationReporter } from '../core/promises/report.js';
import {
  decideGossip,
  listHeartbeatHeads,
  initialGossip,
  serviceAgeMs,
  type GossipState,
} from '../core/gossip/gossip.js';
import type { GossipEffect, GossipMessage } from '../core/gossip/gossip-message.js';
import { Task } from '../core/task/task.js';
import type { Metrics } from './metrics.js';
import type { HeartbeatContent } from './peer-link.js';
import type { ConfigurationReader, Environment } from './environment.js';
import type { ServiceReply } from './service-client.js';

/** Options of the gossip task. */
export interface GossipTaskOptions {
  readonly identity: Identity;
  readonly urls: readonly string[];
  readonly openService: Environment['openService'];
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly report: ViolationReporter;
  readonly random: () => number;
  readonly send: (peer: BackendServerName, message: PeerMessage) => boolean;
  readonly check: (document: Document) => Result<void, readonly Fault[]>;
  readonly apply: (document: Document) => void;
  readonly onReady: () => void;
  /** Called after each successful read or watch, whether the value has changed or not. */
  readonly onServiceReply: () => void;
}

const TICK_INTERVAL_MS = 100;

/**
 * Owns the documents in force and the client of the configuration service, and exchanges documents
 * with peers by gossip.
 */
export class GossipTask {
  readonly #options: GossipTaskOptions;

  readonly #task: Task<GossipState, GossipMessage, GossipEffect>;

  readonly #client: ConfigurationReader;

  readonly #ticker: NodeJS.Timeout;

  /**
   * @param options - identity, service URLs, and callbacks that check and apply documents
   */
  constructor(options: GossipTaskOptions) {
    this.#options = options;
    const { identity, random, clock, urls, openService, check } = options;
    const gossipOptions = { node: identity.node, zone: identity.zone, check, random };
    this.#client = openService(urls, (reply) => this.#receive(reply));
    this.#task = new Task({
      initial: initialGossip(gossipOptions),
      decide: decideGossip(gossipOptions),
      clock,
      perform: (effect) => this.#perform(effect),
    });
    this.#ticker = setInterval(() => this.send({ kind: 'tick' }), TICK_INTERVAL_MS);
  }

  /** @returns the content of the next heartbeat */
  get heartbeat(): HeartbeatContent {
    const { clock, metrics } = this.#options;
    const ageMs = serviceAgeMs(this.#task.state, clock.now());
    metrics.serviceAge.set(ageMs / 1000);
    return { heads: listHeartbeatHeads(this.#task.state), serviceAgeMs: ageMs };
  }

  /**
   * Handles a message from a peer, the membership task or the configuration service.
   *
   * @param message - the message
   */
  send(message: GossipMessage): void {
    this.#task.send(message);
  }

  /** Stops the timer and cancels all reads and watches. */
  close(): void {
    clearInterval(this.#ticker);
    this.#client.close();
  }

  #receive(reply: ServiceReply): void {
    switch (reply.kind) {
      case 'value':
        this.#options.onServiceReply();
        this.send({ kind: 'service-value', document: reply.document });
        break;
      case 'unchanged':
        this.#options.onServiceReply();
        this.send({ kind: 'service-unchanged', topic: reply.topic });
        break;
      case 'failed':
        this.#logEvent('serviceUnreachable', { reason: `${reply.topic}: ${reply.reason}` });
        this.send({ kind: 'service-failed', topic: reply.topic });
        break;
    }
  }

  #perform(effect: GossipEffect): void {
    switch (effect.kind) {
      case 'read-service':
        this.#options.metrics.serviceReads.inc({ kind: 'read' });
        this.#client.read(effect.topic);
        break;
      case 'watch-service':
        this.#options.metrics.serviceReads.inc({ kind: 'watch' });
        this.#client.watch(effect.topic);
        break;
      case 'send':
        this.#options.send(effect.peer, effect.message);
        break;
      case 'apply':
        this.#apply(effect.document);
        break;
      case 'rejected':
        this.#logEvent('documentRejected', {
          topic: effect.head.topic,
          version: effect.head.version,
          reason: effect.faults.map(formatFault).join('; '),
        });
        break;
      case 'ignored-older':
        this.#logEvent('documentOlder', {
          topic: effect.head.topic,
          version: effect.head.version,
        });
        break;
      case 'ready':
        this.#options.onReady();
        break;
      case 'violation':
        this.#options.report(effect);
        break;
    }
  }

  #apply(document: Document): void {
    const { topic, version } = document;
    this.#logEvent('documentApplied', { topic, version });
    this.#options.metrics.documentVersion.set({ topic }, version);
    this.#options.apply(document);
  }

  #logEvent(
    code: 'serviceUnreachable' | 'documentRejected' | 'documentOlder' | 'documentApplied',
    details: Readonly<Record<string, string | number>>,
  ): void {
    this.#options.metrics.events.inc({ code });
    this.#options.log.write({ kind: 'event', code, details });
  }
}
