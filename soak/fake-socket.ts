import { EventEmitter } from 'node:events';
import { decodeFrame } from '../src/runtime/frame-codec.js';
import type { LinkSocket } from '../src/runtime/environment.js';
import type { MadeUpTime } from './made-up-time.js';
import type { Process } from './process.js';

/** What the links of a run do to frames; chances are per frame. */
export interface LinkFaults {
  readonly maxDelayMs: number;
  readonly late: number;
  readonly silence: number;
  readonly duplicate: number;
}

/** What a socket needs of its network. */
export interface Network {
  readonly time: MadeUpTime;
  readonly random: () => number;
  readonly faults: LinkFaults;
  readonly sockets: Set<FakeSocket>;
  isCut(from: string, to: string): boolean;
  delay(): number;
}

const CLOSE_TIMEOUT_MS = 30_000;

/** TCP repeats no frame; these messages tolerate repetition by their own identifiers. */
const REPEATABLE: ReadonlySet<string> = new Set([
  ...['answer', 'announce', 'draw', 'grant', 'settlement', 'marks', 'incarnations', 'cancel'],
]);

/** One end of a connection. Frames of one connection keep their order, as in TCP. */
export class FakeSocket extends EventEmitter implements LinkSocket {
  readonly OPEN = 1;

  readyState = 0;

  other: FakeSocket | null = null;

  /** Nothing that this end sends arrives any more. */
  isMute = false;

  #lastArrival = 0;

  constructor(
    readonly network: Network,
    readonly process: Process,
  ) {
    super();
  }

  send(data: Uint8Array): void {
    if (this.readyState !== this.OPEN) return;
    const { duplicate } = this.network.faults;
    const isTwice = this.network.random() < duplicate && this.#isRepeatable(data);
    (isTwice ? [data, data] : [data]).forEach((frame) =>
      this.#deliver((to) => to.readyState === to.OPEN && to.emit('message', Buffer.from(frame))),
    );
  }

  close(): void {
    if (this.readyState > this.OPEN) return;
    this.readyState = 2;
    this.#deliver((to) => {
      to.finish();
      to.#deliver((back) => back.finish());
    });
    this.network.time.after(this.process, CLOSE_TIMEOUT_MS, () => this.finish());
  }

  terminate(): void {
    this.#deliver((to) => to.finish());
    this.readyState = 2;
    this.network.time.after(this.process, 1, () => this.finish());
  }

  /** Makes the connection silent in both directions. */
  mute(): void {
    this.isMute = true;
    if (this.other !== null) this.other.isMute = true;
  }

  /** Joins both ends. */
  join(other: FakeSocket): void {
    this.other = other;
    if (other.other === null) other.join(this);
  }

  /** Lets this end send. */
  open(): void {
    this.readyState = 1;
    this.emit('open');
  }

  /** Ends this end of the connection. */
  finish(): void {
    if (this.readyState === 3) return;
    this.readyState = 3;
    this.network.sockets.delete(this);
    this.emit('close');
  }

  #isRepeatable(data: Uint8Array): boolean {
    return decodeFrame(data)
      .map(({ kind }) => REPEATABLE.has(kind))
      .unwrapOr(false);
  }

  #deliver(action: (to: FakeSocket) => void): void {
    const { network, other } = this;
    if (other === null) return;
    this.isMute ||= network.isCut(this.process.name, other.process.name);
    this.isMute ||= network.random() < network.faults.silence;
    if (this.isMute) return;
    this.#lastArrival = Math.max(this.#lastArrival, network.time.now + network.delay());
    network.time.after(other.process, this.#lastArrival - network.time.now, () => action(other));
  }
}
