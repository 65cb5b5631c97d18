import { documentDigest } from '../src/core/model/document-digest.js';
import type { Document, Topic } from '../src/core/model/document.js';
import type { Host } from '../src/core/model/host.js';
import type { ConfigurationReader } from '../src/runtime/environment.js';
import type { ServiceReply } from '../src/runtime/service-client.js';
import type { SimulatedTime } from './simulated-time.js';
import type { SimulatedProcess } from './simulated-process.js';

/** State of the configuration service; a stale service keeps serving its old documents. */
export type ServiceState = 'up' | 'down' | 'stale';

const ANSWER_MS = 4;
const WATCH_MS = 1000;
const WATCH_POLL_MS = 50;

interface Reader {
  readonly process: SimulatedProcess;
  readonly onReply: (reply: ServiceReply) => void;
  readonly lastTags: Map<Topic, string>;
  isOpen: boolean;
}

/** Builds the document with the host list of a zone. */
export function hostDocument(zone: string, version: number, hosts: readonly Host[]): Document {
  const entries = new Map(hosts.map((host) => [host.backendServer, JSON.stringify(host)]));
  return { topic: `hosts/${zone}`, version, digest: documentDigest(entries), entries };
}

/** A simulated configuration service that supports read and watch. */
export class FakeService {
  state: ServiceState = 'up';

  /** Time of the last change to `up`. */
  upSince = 0;

  readonly #published = new Map<Topic, Document>();

  #served: ReadonlyMap<Topic, Document> = new Map();

  constructor(readonly time: SimulatedTime) {}

  publish(document: Document): void {
    this.#published.set(document.topic, document);
    if (this.state !== 'stale') this.#served = new Map(this.#published);
  }

  setState(state: ServiceState): void {
    if (this.state !== 'up' && state === 'up') this.upSince = this.time.now;
    this.state = state;
    if (state !== 'stale') this.#served = new Map(this.#published);
  }

  open(process: SimulatedProcess, onReply: (reply: ServiceReply) => void): ConfigurationReader {
    const reader: Reader = { process, onReply, lastTags: new Map(), isOpen: true };
    return {
      read: (topic) => {
        reader.lastTags.delete(topic);
        this.#scheduleReply(reader, topic, 0, ANSWER_MS);
      },
      watch: (topic) => this.#scheduleReply(reader, topic, WATCH_MS, ANSWER_MS),
      close: () => {
        reader.isOpen = false;
      },
    };
  }

  #scheduleReply(reader: Reader, topic: Topic, waitMs: number, afterMs: number): void {
    this.time.after(reader.process, afterMs, () => {
      if (reader.isOpen) this.#sendReply(reader, topic, waitMs - afterMs);
    });
  }

  #sendReply(reader: Reader, topic: Topic, waitMs: number): void {
    const { lastTags, onReply } = reader;
    const document = this.#served.get(topic);
    const tag = `${document?.version}/${document?.digest}`;
    const isKnown = lastTags.get(topic) === tag;
    if (this.state === 'down' || document === undefined) {
      onReply({ kind: 'failed', topic, reason: 'down' });
    } else if (isKnown && waitMs > 0) this.#scheduleReply(reader, topic, waitMs, WATCH_POLL_MS);
    else {
      lastTags.set(topic, tag);
      onReply(isKnown ? { kind: 'unchanged', topic } : { kind: 'value', topic, document });
    }
  }
}
