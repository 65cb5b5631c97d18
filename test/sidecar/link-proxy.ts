import { connect, createServer, type Server, type Socket } from 'node:net';
import { HeldDirection } from './held-direction.js';

/** TCP proxy whose connections can be held up and released, as by a cut between two hosts. */
export class LinkProxy {
  readonly server: Server;

  readonly #directions: HeldDirection[] = [];

  #isHeld = false;

  /**
   * @param targetPort - port on 127.0.0.1 to which connections are forwarded
   */
  constructor(targetPort: number) {
    this.server = createServer((client) => {
      const target = connect(targetPort, '127.0.0.1');
      this.#forward(client, target);
      this.#forward(target, client);
    });
  }

  /** Holds up everything that either end sends, including the end of the connection. */
  hold(): void {
    this.#isHeld = true;
    this.#directions.forEach((direction) => direction.hold());
  }

  /** Holds up what is sent on the connections that are open now; new ones work. */
  silence(): void {
    this.#directions.forEach((direction) => direction.hold());
  }

  /**
   * Delivers what was held up, in order.
   *
   * @param gapMs - time between two segments
   */
  release(gapMs: number): void {
    this.#isHeld = false;
    this.#directions.forEach((direction) => direction.release(gapMs));
  }

  #forward(source: Socket, target: Socket): void {
    const direction = new HeldDirection(target);
    if (this.#isHeld) direction.hold();
    this.#directions.push(direction);
    source.on('data', (bytes: Buffer) => direction.add({ kind: 'bytes', bytes }));
    source.on('close', () => direction.add({ kind: 'end' }));
    source.on('error', () => {});
  }
}
