import type { LinkSocket } from '../src/runtime/environment.js';
import { FakeSocket, type LinkFaults, type Network } from './fake-socket.js';
import type { SimulatedTime } from './simulated-time.js';
import type { SimulatedProcess } from './simulated-process.js';

/** Process that listens at an address. */
export interface Listener {
  readonly process: SimulatedProcess;
  readonly accept: (socket: LinkSocket) => void;
}

const MAX_LATE_DELAY_MS = 900;
const OPEN_TIMEOUT_MS = 1000;

/** The network between the nodes of a run. */
export class FakeNetwork implements Network {
  readonly listeners = new Map<string, Listener>();

  readonly sockets = new Set<FakeSocket>();

  /** Nodes on one side of the partition; empty without a partition. */
  partitionedNodes: ReadonlySet<string> = new Set();

  constructor(
    readonly time: SimulatedTime,
    readonly random: () => number,
    readonly faults: LinkFaults,
  ) {}

  isPartitioned(from: string, to: string): boolean {
    return this.partitionedNodes.has(from) !== this.partitionedNodes.has(to);
  }

  drawDelayMs(): number {
    const { maxDelayMs, lateProbability } = this.faults;
    return this.random() < lateProbability
      ? this.random() * MAX_LATE_DELAY_MS
      : 1 + this.random() * maxDelayMs;
  }

  open(from: SimulatedProcess, address: string): LinkSocket {
    const localEnd = new FakeSocket(this, from);
    this.sockets.add(localEnd);
    const target = this.listeners.get(address);
    if (target === undefined || !target.process.isAlive) {
      this.time.after(from, this.drawDelayMs(), () => localEnd.markClosed());
    } else if (this.isPartitioned(from.name, target.process.name)) {
      this.time.after(from, OPEN_TIMEOUT_MS, () => localEnd.markClosed());
    } else this.#connect(localEnd, target);
    return localEnd;
  }

  /** Closes the connections of a process that has ended; a failed host leaves them silent. */
  dropConnections(process: SimulatedProcess, isSilent: boolean): void {
    this.#socketsOf(process).forEach((socket) => {
      if (!isSilent) socket.terminate();
      this.sockets.delete(socket);
    });
  }

  /** Makes the open connections of a process silent permanently; new connections work. */
  silence(process: SimulatedProcess): void {
    this.#socketsOf(process).forEach((socket) => socket.becomeSilent());
  }

  #socketsOf(process: SimulatedProcess): readonly FakeSocket[] {
    return [...this.sockets].filter((socket) => socket.process === process);
  }

  #connect(localEnd: FakeSocket, target: Listener): void {
    const remoteEnd = new FakeSocket(this, target.process);
    this.sockets.add(remoteEnd);
    localEnd.connectTo(remoteEnd);
    this.time.after(target.process, this.drawDelayMs(), () => {
      remoteEnd.markOpen();
      target.accept(remoteEnd);
      this.time.after(localEnd.process, this.drawDelayMs(), () => {
        if (localEnd.readyState === 0) localEnd.markOpen();
      });
    });
    this.time.after(localEnd.process, OPEN_TIMEOUT_MS * 2, () => {
      if (localEnd.readyState === 0) localEnd.markClosed();
    });
  }
}
