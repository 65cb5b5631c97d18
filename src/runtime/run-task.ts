import { err, ok, type Result } from 'neverthrow';
import type { Call, Feedback } from '../core/model/call.js';
import type { RequestId } from '../core/model/names.js';
import type { Clock } from '../core/model/time.js';
import { refusal, type Refusal } from '../core/pipeline/request-stages.js';
import type { ViolationReporter } from '../core/promises/report.js';
import { decideRuns, INITIAL_RUNS, type RunLedger } from '../core/retry/run-ledger.js';
import type { Inheritance, RunEffect, RunMessage, RunReport } from '../core/retry/run-message.js';
import { Task } from '../core/task/task.js';

/** Dependencies of the run task on its node. */
export interface RunTaskOptions {
  readonly clock: Clock;
  readonly report: ViolationReporter;
  /** Cancels a nested call whose parent has ended. */
  readonly cancelChild: (childId: RequestId) => void;
}

/** Result of a nested call, with the retries that it used. */
export interface ChildResult {
  readonly parentId: RequestId;
  readonly childId: RequestId;
  readonly isSuccess: boolean;
  readonly retriesSpent: number | null;
  readonly feedback: readonly Feedback[];
}

/** Owns the ledger of running calls. */
export class RunTask {
  readonly #options: RunTaskOptions;

  readonly #task: Task<RunLedger, RunMessage, RunEffect>;

  /** Decision on a nested call, set by an effect while its message is handled. */
  #childDecision: Result<Inheritance, Refusal> = err(refusal('contextInvalid'));

  /** Report of a run that has ended, set by an effect while its message is handled. */
  #runReport: RunReport | null = null;

  /**
   * @param options - clock, and the functions that report violations and cancel nested calls
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
   * Registers a call that is dispatched to the backend server.
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
   * Registers a nested call with its parent, the running call that makes it.
   *
   * @param child - identifier of the parent, and identifier and fingerprint of the nested call
   * @returns what the nested call inherits, or its refusal
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
   * Records the end of a nested call.
   *
   * @param end - its result and the retries that it used
   */
  endChild(end: ChildResult): void {
    this.#task.send({ kind: 'child-ended', ...end });
  }

  /**
   * Records the end of a running call.
   *
   * @param requestId - identifier of the call
   * @returns its retries, own latency and feedback, or null when it did not run
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
