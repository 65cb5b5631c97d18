import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { CodeName } from '../core/errors/registry.js';
import {
  decidePipeline,
  emptyPipeline,
  isReadable,
  type CallerPipeline,
  type PipelineConditions,
  type PipelineEffect,
  type PipelineEvent,
  type PipelineMessage,
  type RequestNumber,
} from '../core/exchange/caller-pipeline.js';
import { refusedOutcome, type MeshOutcome } from '../core/exchange/mesh-call.js';
import type { Clock, Instant, Milliseconds } from '../core/model/time.js';
import { Task } from '../core/task/task.js';
import type { AnswerBuffer, AnswerHold } from './answer-buffer.js';
import { refuseUnread, writeAnswer } from './answer-writer.js';
import type { Exchange } from './entry-task.js';
import { OpenRequest, type CompleteRequest } from './open-request.js';
import type { AnswerHandler } from './placed-request.js';

/** Options of a connection. */
export interface CallerConnectionOptions {
  readonly clock: Clock;
  readonly socket: Socket;
  readonly conditions: () => PipelineConditions;
  readonly handle: (request: CompleteRequest, answer: AnswerHandler) => Exchange;
  /** Answers that the callers of all connections have not read. */
  readonly unreadAnswers: AnswerBuffer;
  /** Called when the connection is closed because its caller does not read its answers. */
  readonly onUnread: () => void;
}

/** Time for the caller to read the last answer and to close its side of the connection. */
const CLOSE_TIMEOUT_MS: Milliseconds = 1000;

function outcomeBytes(outcome: MeshOutcome): number {
  return outcome.kind === 'answered' ? outcome.body.length : 0;
}

/** Owns one connection of a caller and the requests on it that have not been answered. */
export class CallerConnection implements AnswerHold {
  readonly #options: CallerConnectionOptions;

  readonly #pipeline: Task<CallerPipeline, PipelineMessage, PipelineEffect>;

  /** Requests whose answer has not been written. */
  readonly #open = new Map<RequestNumber, OpenRequest>();

  readonly #openedAt: Instant;

  /** Instant of the last answer, or of the start before the first one. */
  #usedAt: Instant;

  #nextNumber: RequestNumber = 0;

  #lastResponse: ServerResponse | null = null;

  /** Answers that are not written to the socket completely, as their caller reads slowly. */
  readonly #unwritten = new Set<ServerResponse>();

  #isClosed = false;

  /**
   * @param options - the socket and the handler of requests
   */
  constructor(options: CallerConnectionOptions) {
    this.#options = options;
    this.#openedAt = options.clock.now();
    this.#usedAt = this.#openedAt;
    this.#pipeline = new Task({
      initial: emptyPipeline,
      decide: decidePipeline,
      perform: (effect) => this.#perform(effect),
      clock: options.clock,
    });
    const { socket } = options;
    // The end of the caller's side is read before the connection counts as closed.
    socket.once('end', () => this.#cancelAll());
    socket.once('close', () => {
      this.#cancelAll();
      options.unreadAnswers.release(this);
    });
    // The HTTP server calls this behind a last answer. Closing with unread bytes would reset the
    // connection, and the caller might lose that answer.
    socket.destroySoon = () => this.#closeGracefully();
  }

  /** @returns whether the caller has sent nothing yet */
  get isUnused(): boolean {
    return this.#options.socket.bytesRead === 0;
  }

  /** @returns the number of answers that have bytes left to write to the socket */
  get unwrittenAnswers(): number {
    return this.#unwritten.size;
  }

  /** @returns since when no complete request has been in progress; null while one is */
  get idleSince(): Instant | null {
    return this.#open.size === 0 ? this.#usedAt : null;
  }

  /** @returns time since the connection was opened */
  get ageMs(): Milliseconds {
    return this.#options.clock.now() - this.#openedAt;
  }

  /**
   * Takes a request.
   *
   * @param request - the request
   */
  receive(request: CompleteRequest): void {
    const { body, response } = request;
    const isLast = !response.shouldKeepAlive;
    this.#add(request, { bytes: body.length, isLast });
  }

  /**
   * Answers a request that was not read completely. Nothing behind it is taken.
   *
   * @param request - the request, without a body
   * @param code - the reason
   */
  refuse(request: CompleteRequest, code: CodeName): void {
    this.#add(request, { bytes: 0, isLast: true }, refusedOutcome(code));
  }

  /**
   * Refuses the bytes behind the last request, after the answers of all requests.
   *
   * @param code - the reason
   */
  refuseUnread(code: CodeName): void {
    this.#send({ kind: 'unreadable', code });
  }

  /** Handles the requests that waited after a pause. */
  release(): void {
    this.#send({ kind: 'released' });
  }

  /** Closes the connection, whose caller takes too long to read its answers. */
  evict(): void {
    this.#options.onUnread();
    this.#options.socket.destroy();
  }

  #add(
    request: CompleteRequest,
    { bytes, isLast }: { readonly bytes: number; readonly isLast: boolean },
    outcome: MeshOutcome | null = null,
  ): void {
    if (this.#isClosed) {
      request.release();
      return;
    }
    const number = this.#nextNumber;
    this.#nextNumber += 1;
    this.#open.set(number, new OpenRequest(request, outcome));
    this.#send({ kind: 'request-read', number, bytes, isLast });
  }

  #send(event: PipelineEvent): void {
    this.#pipeline.send({ ...event, ...this.#options.conditions() });
    this.#updateReading();
  }

  /** The HTTP server resumes a socket on its own, so the state is set after each message. */
  #updateReading(): void {
    const { socket } = this.#options;
    if (!isReadable(this.#pipeline.state)) socket.pause();
    else if (socket.isPaused()) socket.resume();
  }

  #perform(effect: PipelineEffect): void {
    switch (effect.kind) {
      case 'handle':
        this.#handle(effect.number);
        break;
      case 'discard':
        this.#discard(effect.number);
        break;
      case 'write':
        this.#write(effect.number, effect.isLast);
        break;
      case 'refuse':
        this.#writeUnreadRefusal(effect.code);
        break;
    }
  }

  #handle(number: RequestNumber): void {
    const open = this.#open.get(number);
    if (open === undefined) return;
    if (open.outcome !== null) {
      this.#answer(number, open.outcome);
      return;
    }
    open.start(this.#options.handle(open.request, (outcome) => this.#answer(number, outcome)));
  }

  #answer(number: RequestNumber, outcome: MeshOutcome): void {
    const open = this.#open.get(number);
    if (open === undefined) return;
    open.answer(outcome);
    const bytes = outcomeBytes(outcome);
    this.#options.unreadAnswers.add(this, bytes);
    this.#send({ kind: 'answered', number, bytes });
  }

  #discard(number: RequestNumber): void {
    this.#open.get(number)?.cancel();
    this.#open.delete(number);
  }

  #write(number: RequestNumber, isLast: boolean): void {
    const open = this.#open.get(number);
    this.#open.delete(number);
    const outcome = open?.outcome ?? null;
    if (open === undefined || outcome === null) return;
    this.#usedAt = this.#options.clock.now();
    const { response } = open.request;
    this.#lastResponse = response;
    if (!response.destroyed) this.#unwritten.add(response);
    // Also follows the end of a response that was written completely.
    response.on('close', () => this.#forget(response, outcomeBytes(outcome)));
    writeAnswer(response, outcome, isLast);
  }

  /** A response that is kept until the next one would keep its whole request in memory. */
  #forget(response: ServerResponse, bytes: number): void {
    if (this.#lastResponse === response) this.#lastResponse = null;
    if (this.#unwritten.delete(response)) this.#options.unreadAnswers.remove(this, bytes);
  }

  #writeUnreadRefusal(code: CodeName): void {
    const { socket } = this.#options;
    const refuse = (): void => {
      if (!socket.writable) {
        socket.destroy();
        return;
      }
      refuseUnread(socket, code);
      this.#closeGracefully();
    };
    const last = this.#lastResponse;
    // The HTTP server writes answers later than they are ended when an earlier one is on its way.
    if (last === null || last.writableFinished) refuse();
    else last.once('finish', refuse);
  }

  /** Ends the own side and reads on until the caller ends its side. */
  #closeGracefully(): void {
    const { socket } = this.#options;
    socket.end();
    socket.resume();
    setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS).unref();
  }

  #cancelAll(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    const requests = [...this.#open.values()];
    this.#open.clear();
    requests.forEach((open) => open.cancel());
  }
}
