import {
  checkFingerprint,
  createCrashState,
  decideCrashes,
  findQuarantine,
  hasCrashRecord,
  isQuarantined,
  listCrashRecords,
  type CrashState,
} from '../core/crash/crash-tracker.js';
import { isCompletion, type CrashEffect, type CrashMessage } from '../core/crash/crash-message.js';
import type { Suspicion } from '../core/crash/suspicion.js';
import type { Identity } from '../core/membership/handshake.js';
import type { Call } from '../core/model/call.js';
import type { CrashClearance, CrashRecord } from '../core/model/crash-record.js';
import type { Clock } from '../core/model/time.js';
import type { Attempt } from '../core/pipeline/next-attempt.js';
import { Task } from '../core/task/task.js';

/** What a node tells its peers about crashes. */
export interface CrashNews {
  readonly marks: readonly CrashRecord[];
  readonly clearances?: readonly CrashClearance[] | undefined;
}

/** Dependencies of the crash task on its node. */
export interface CrashTaskOptions {
  readonly identity: Identity;
  readonly clock: Clock;
  readonly broadcast: (news: CrashNews) => void;
  readonly onQuarantined: (fingerprint: string) => void;
}

/** Interval at which peers hear which crash records were cleared. */
const TICK_INTERVAL_MS = 250;

/** Owns the marks of requests that were running when a backend server crashed. */
export class CrashTask {
  readonly #options: CrashTaskOptions;

  readonly #task: Task<CrashState, CrashMessage, CrashEffect>;

  readonly #ticker: NodeJS.Timeout;

  /**
   * @param options - identity, clock and the functions that report marks and quarantines
   */
  constructor(options: CrashTaskOptions) {
    this.#options = options;
    this.#task = new Task({
      initial: createCrashState(options.identity.node),
      decide: decideCrashes,
      clock: options.clock,
      perform: (effect) => this.#perform(effect),
    });
    this.#ticker = setInterval(() => this.send({ kind: 'tick' }), TICK_INTERVAL_MS);
  }

  /**
   * Handles a crash, a completed call, marks from a peer or a timer tick.
   *
   * @param message - the message
   */
  send(message: CrashMessage): void {
    this.#task.send(message);
  }

  /**
   * Marks the calls that were running when this node's backend server crashed.
   *
   * @param crash - number of the crash, which repeats when more of its calls become known
   * @param fingerprints - fingerprints of the calls that were running
   */
  recordCrash(crash: number, fingerprints: readonly string[]): void {
    const { node, incarnation } = this.#options.identity;
    const crashId = `${node}-${incarnation}-${crash}`;
    this.send({ kind: 'crashed', crashId, fingerprints });
  }

  /**
   * Records the result of a send. A completed run clears the call of earlier crashes.
   *
   * @param call - the call
   * @param attempt - the result
   * @returns the result
   */
  recordAttempt({ fingerprint }: Call, attempt: Attempt): Attempt {
    const outcome = attempt.kind === 'replied' ? attempt.answer.outcome : null;
    if (outcome?.kind === 'answered' && isCompletion(outcome.status)) {
      this.send({ kind: 'completed-anywhere', fingerprint });
    }
    return attempt;
  }

  /** @returns whether any call is known that was running at a crash */
  get hasRecords(): boolean {
    return !this.#task.state.records.isEmpty();
  }

  /**
   * Checks a request before it is sent to a gate. A request for which a trial is due is the trial.
   *
   * @param fingerprint - fingerprint of the request
   * @returns what is known against it
   */
  checkRequest(fingerprint: string): Suspicion {
    const suspicion = checkFingerprint(this.#task.state, fingerprint, this.#options.clock.now());
    if (suspicion.kind === 'trial-due') this.send({ kind: 'trial-started', fingerprint });
    return suspicion;
  }

  /**
   * Checks whether a gate refuses a call. From the time of the first trial on, entries decide which
   * calls run.
   *
   * @param fingerprint - fingerprint of the call
   * @returns whether it is quarantined and no trial can have begun
   */
  isRefusedAtGate(fingerprint: string): boolean {
    const now = this.#options.clock.now();
    const quarantine = findQuarantine(this.#task.state, fingerprint, now);
    return quarantine !== null && now < quarantine.trialsFrom;
  }

  /**
   * @param fingerprint - fingerprint of a call
   * @returns whether calls with this fingerprint were running at the crashes of two backend servers
   */
  isQuarantined(fingerprint: string): boolean {
    return isQuarantined(this.#task.state, fingerprint, this.#options.clock.now());
  }

  /**
   * @param fingerprint - fingerprint of a call
   * @returns whether a call with this fingerprint was running at a crash
   */
  hasCrashMark(fingerprint: string): boolean {
    return hasCrashRecord(this.#task.state, fingerprint, this.#options.clock.now());
  }

  /** @returns the recent crash records, for a peer that has just started */
  listRecords(): readonly CrashRecord[] {
    return listCrashRecords(this.#task.state, this.#options.clock.now());
  }

  /** Stops the timer. */
  close(): void {
    clearInterval(this.#ticker);
  }

  #perform(effect: CrashEffect): void {
    switch (effect.kind) {
      case 'gossip-records':
        this.#options.broadcast({ marks: effect.marks });
        break;
      case 'gossip-clearances':
        this.#options.broadcast({ marks: [], clearances: effect.clearances });
        break;
      case 'quarantined':
        this.#options.onQuarantined(effect.fingerprint);
        break;
    }
  }
}
