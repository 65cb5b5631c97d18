import type { LinkSocket } from '../src/runtime/environment.js';
import { FakeSocket, type LinkFaults, type Network } from './fake-socket.js';
import type { MadeUpTime } from './made-up-time.js';
import type { Process } from './process.js';

/** Who listens at an address. */
export interface Listener {
  readonly process: Process;
  readonly accept: (socket: LinkSocket) => void;
}

const LATE_MS = 900;
const OPEN_TIMEOUT_MS = 1000;

/** The network between the nodes of a run. */
export class FakeNetwork implements Network {
  readonly listeners = new Map<string, Listener>();

  readonly sockets = new Set<FakeSocket>();

  /** Nodes on the far side of the partition. */
  cut: ReadonlySet<string> = new Set();

  constructor(
    readonly time: MadeUpTime,
    readonly random: () => number,
    readonly faults: LinkFaults,
  ) {}

  isCut(from: string, to: string): boolean {
    return this.cut.has(from) !== this.cut.has(to);
  }

  delay(): number {
    const { maxDelayMs, late } = this.faults;
    return this.random() < late ? this.random() * LATE_MS : 1 + this.random() * maxDelayMs;
  }

  open(from: Process, address: string): LinkSocket {
    const near = new FakeSocket(this, from);
    this.sockets.add(near);
    const target = this.listeners.get(address);
    if (target === undefined || !target.process.isAlive) {
      this.time.after(from, this.delay(), () => near.finish());
    } else if (this.isCut(from.name, target.process.name)) {
      this.time.after(from, OPEN_TIMEOUT_MS, () => near.finish());
    } else this.#join(near, target);
    return near;
  }

  /** Ends the connections of a dead process; a failed host leaves them silent instead. */
  drop(process: Process, isSilent: boolean): void {
    this.#of(process).forEach((socket) => {
      if (!isSilent) socket.terminate();
      this.sockets.delete(socket);
    });
  }

  /** Makes the open connections of a process silent for ever; new ones work. */
  silence(process: Process): void {
    this.#of(process).forEach((socket) => socket.mute());
  }

  #of(process: Process): readonly FakeSocket[] {
    return [...this.sockets].filter((socket) => socket.process === process);
  }

  #join(near: FakeSocket, target: Listener): void {
    const far = new FakeSocket(this, target.process);
    this.sockets.add(far);
    near.join(far);
    this.time.after(target.process, this.delay(), () => {
      far.open();
      target.accept(far);
      this.time.after(near.process, this.delay(), () => {
        if (near.readyState === 0) near.open();
      });
    });
    this.time.after(near.process, OPEN_TIMEOUT_MS * 2, () => {
      if (near.readyState === 0) near.finish();
    });
  }
}
