import { fork, type ChildProcess } from 'node:child_process';
import type { Socket } from 'node:net';
import { fileURLToPath } from 'node:url';
import type { EndlessForm } from './endless-forms.js';

/** Message to the writer process; it comes with the connection to write on. */
export interface EndlessWriterMessage {
  readonly form: EndlessForm;
  /** Identifier of the attempt. */
  readonly id: string;
}

/**
 * Answers requests without end on connections that a server hands over. The writer is a process of
 * its own, as only processes can hand over connections, so that it does not delay its parent.
 */
export class EndlessWriter {
  readonly #process: ChildProcess = fork(
    fileURLToPath(new URL('./endless-writer-process.js', import.meta.url)),
    { execArgv: [] },
  );

  /**
   * Answers a request until its connection closes. The connection leaves this process.
   *
   * @param socket - connection of the request, whose body has been read; the HTTP server lists a
   *   connection again when the request ends after the connection has left
   * @param form - form of the answer
   * @param id - identifier of the attempt
   */
  answer(socket: Socket, form: EndlessForm, id: string): void {
    const message: EndlessWriterMessage = { form, id };
    this.#process.send(message, socket, (error) => {
      if (error !== null) socket.destroy();
    });
  }

  /** Ends the process with all its connections. */
  close(): void {
    this.#process.disconnect();
  }
}
