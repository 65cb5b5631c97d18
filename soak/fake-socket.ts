import { EventEmitter } from 'node:events';
import { decodeFrame } from '../src/runtime/frame-codec.js';
import type { LinkSocket } from '../src/runtime/environment.js';
import type { SimulatedTime } from './simulated-time.js';
import type { SimulatedProcess } from './simulated-process.js';

/** Faults of the links in a run; the probabilities apply to each frame. */
export interface LinkFaults {
  readonly maxDelayMs: number;
  readonly lateProbability: number;
  readonly silenceProbability: number;
  readonly duplicateProbability: number;
}

/** Network that a socket belongs to. */
export interface Network {
  readonly time: SimulatedTime;
  readonly random: () => number;
  readonly faults: LinkFaults;
  readonly sockets: Set<FakeSocket>;
  isPartitioned(from: string, to: string): boolean;
  drawDelayMs(): number;
}

const CLOSE_TIMEOUT_MS = 30_000;

/** TCP duplicates no frame; the identifiers of these messages make repetition harmless. */
const REPEATABLE_KINDS: ReadonlySet<string> = new Set([
  ...['answer', 'announce', 'draw', 'grant', 'settlement', 'marks', 'incarnations', 'cancel'],
]);

/** One end of a connection. Frames of one connection keep their order, as in TCP. */
export class FakeSocket extends EventEmitter implements LinkSocket {
  readonly OPEN = 1;

  readyState = 0;

  other: FakeSocket | null = null;

  /** Whether everything that this end sends from now on is lost. */
  isSilent = false;

  #lastArrival = 0;

  constructor(
    readonly network: Network,
    readonly process: SimulatedProcess,
  ) {
    super();
  }

  send(data: Uint8Array): void {
    if (this.readyState !== this.OPEN) return;
    const { duplicateProbability } = this.network.faults;
    const isDuplicated = this.network.random() < duplicateProbability && this.#isRepeatable(data);
    (isDuplicated ? [data, data] : [data]).forEach((frame) =>
      this.#deliver((to) => to.readyState === to.OPEN && to.emit('message', Buffer.from(frame))),
    );
  }

  close(): void {
    if (this.readyState > this.OPEN) return;
    this.readyState = 2;
    this.#deliver((to) => {
      to.markClosed();
      to.#deliver((back) => back.markClosed());
    });
    this.network.time.after(this.process, CLOSE_TIMEOUT_MS, () => this.markClosed());
  }

  terminate(): void {
    this.#deliver((to) => to.markClosed());
    this.readyState = 2;
    this.network.time.after(this.process, 1, () => this.markClosed());
  }

  /** Makes the connection silent in both directions. */
  becomeSilent(): void {
    this.isSilent = true;
    if (this.other !== null) this.other.isSilent = true;
  }

  /** Connects both ends. */
  connectTo(other: FakeSocket): void {
    this.other = other;
    if (other.other === null) other.connectTo(this);
  }

  /** Marks this end as open, so that it can send. */
  markOpen(): void {
    this.readyState = 1;
    this.emit('open');
  }

  /** Marks this end as closed. */
  markClosed(): void {
    if (this.readyState === 3) return;
    this.readyState = 3;
    this.network.sockets.delete(this);
    this.emit('close');
  }

  #isRepeatable(data: Uint8Array): boolean {
    return decodeFrame(data)
      .map(({ kind }) => REPEATABLE_KINDS.has(kind))
      .unwrapOr(false);
  }

  #deliver(action: (to: FakeSocket) => void): void {
    const { network, other } = this;
    if (other === null) return;
    this.isSilent ||= network.isPartitioned(this.process.name, other.process.name);
    this.isSilent ||= network.random() < network.faults.silenceProbability;
    if (this.isSilent) return;
    this.#lastArrival = Math.max(this.#lastArrival, network.time.now + network.drawDelayMs());
    network.time.after(other.process, this.#lastArrival - network.time.now, () => action(other));
  }
}
