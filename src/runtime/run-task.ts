import { err, ok, type Result } from 'neverthrow';
import type { Call, Feedback } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import type { Clock } from '../core/model/time.js';
import { refusal, type Refusal } from '../core/pipeline/exchange.js';
import type { Report } from '../core/promises/report.js';
import { decideRuns, INITIAL_RUNS, type RunLedger } from '../core/retry/run-ledger.js';
import type { Inheritance, RunEffect, RunMessage, RunReport } from '../core/retry/run-message.js';
import { Task } from '../core/task/task.js';

/** What the ledger's task needs of its node. */
export interface RunTaskOptions {
  readonly clock: Clock;
  readonly report: Report;
  /** Cancels a deeper call whose parent has ended. */
  readonly cancelChild: (childId: RequestId) => void;
}

/** How a deeper call ended. */
export interface ChildResult {
  readonly parentId: RequestId;
  readonly childId: RequestId;
  readonly succeeded: boolean;
  readonly retriesSpent: number | null;
  readonly feedback: readonly Feedback[];
}

/** Owner of the ledger of running calls. */
export class RunTask {
  readonly #options: RunTaskOptions;

  readonly #task: Task<RunLedger, RunMessage, RunEffect>;

  /** Replies of the ledger to the message that is being handled. */
  #childDecision: Result<Inheritance, Refusal> = err(refusal('contextInvalid'));

  #runReport: RunReport | null = null;

  /**
   * @param options - clock, where violations go, and how deeper calls are cancelled
   */
  constructor(options: RunTaskOptions) {
    this.#options = options;
    this.#task = new Task({
      initial: INITIAL_RUNS,
      decide: decideRuns,
      clock: options.clock,
      perform: (effect) => this.#perform(effect),
    });
  }

  /**
   * Registers a call that is handed to the backend server.
   *
   * @param call - the call
   */
  start(call: Call): void {
    const { requestId, rootId, rootHash, caller, importance, depth, deadline, retries } = call;
    this.#task.send({
      kind: 'run-started',
      requestId,
      rootId,
      rootHash,
      caller,
      importance,
      depth,
      deadline,
      retries,
    });
  }

  /**
   * Registers a deeper call with the running call that makes it.
   *
   * @param child - the running call, and identifier and fingerprint of the deeper call
   * @returns what the deeper call inherits, or why it is refused
   */
  startChild(child: {
    readonly parentId: RequestId;
    readonly childId: RequestId;
    readonly fingerprint: string;
  }): Result<Inheritance, Refusal> {
    this.#childDecision = err(refusal('contextInvalid'));
    this.#task.send({ kind: 'child-started', ...child });
    return this.#childDecision;
  }

  /**
   * Tells the ledger that a deeper call has ended.
   *
   * @param end - how it ended and what it cost
   */
  endChild(end: ChildResult): void {
    this.#task.send({ kind: 'child-ended', ...end });
  }

  /**
   * Tells the ledger that a running call has ended.
   *
   * @param requestId - identifier of the call
   * @returns what the call spent and learnt, or null when it did not run
   */
  end(requestId: RequestId): RunReport | null {
    this.#runReport = null;
    this.#task.send({ kind: 'run-ended', requestId });
    return this.#runReport;
  }

  #perform(effect: RunEffect): void {
    switch (effect.kind) {
      case 'child-permitted':
        this.#childDecision = ok(effect.inheritance);
        break;
      case 'child-refused':
        this.#childDecision = err(refusal(effect.code));
        break;
      case 'run-reported':
        this.#runReport = effect.report;
        break;
      case 'cancel-child':
        this.#options.cancelChild(effect.childId);
        break;
      case 'violation':
        this.#options.report(effect);
        break;
    }
  }
}
