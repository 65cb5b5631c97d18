import type { Log } from '../core/logs/log-entry.js';
import { subjectOf } from '../core/logs/subject.js';
import type { Call, Feedback, Outcome } from '../core/model/call.js';
import type { BackendServerName, RegionName, ServiceName, ZoneName } from '../core/model/names.js';
import type { Clock, Milliseconds } from '../core/model/time.js';
import type { Candidate } from '../core/membership/membership-message.js';
import { decideNextAttempt, type Attempt } from '../core/pipeline/next-attempt.js';
import { reportViolations, type ViolationReporter } from '../core/promises/report.js';
import { assertPromise } from '../core/promises/violation.js';
import { chooseBackendServer, type Choice } from '../core/routing/route-choice.js';
import type { Metrics } from './metrics.js';

/** Outcome of a call after all its attempts, and the retries that it used. */
export interface CallResult {
  readonly outcome: Outcome;
  readonly retriesSpent: number;
  readonly feedback: readonly Feedback[];
}

/** Dependencies of placement on its node. */
export interface PlacementOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly report: ViolationReporter;
  readonly random: () => number;
  readonly zone: ZoneName;
  readonly region: () => RegionName;
  readonly candidates: (service: ServiceName) => readonly Candidate[];
  /** Resolves when another candidate may have appeared, or after the timeout. */
  readonly waitForCandidate: (timeoutMs: Milliseconds) => Promise<void>;
  readonly send: (backendServer: BackendServerName, call: Call) => Promise<Attempt>;
}

interface Progress {
  readonly number: number;
  readonly retriesSpent: number;
  readonly excluded: ReadonlySet<BackendServerName>;
  readonly feedback: readonly Feedback[];
  /** Combined outcome of the attempts so far; null before the first. */
  readonly outcome: Outcome | null;
}

/** The first call to a service opens links, and a short wait for one avoids a refusal. */
const CANDIDATE_WAIT_MS = 300;

const INITIAL_PROGRESS: Progress = {
  number: 1,
  retriesSpent: 0,
  excluded: new Set(),
  feedback: [],
  outcome: null,
};

/** Owns the calls that this node has sent to gates: chooses a gate, sends and retries. */
export class Placement {
  readonly #options: PlacementOptions;

  readonly #inFlight = new Map<BackendServerName, number>();

  /** Gate and identifier of the outstanding send of each call, by identifier of the call. */
  readonly #sends = new Map<string, { readonly peer: BackendServerName; readonly id: string }>();

  /**
   * @param options - clock, log, candidates and the function that sends a call
   */
  constructor(options: PlacementOptions) {
    this.#options = options;
  }

  /**
   * Sends a call to a gate, and retries it on others while that is safe and within its budget.
   *
   * @param call - the call
   * @returns its outcome, the retries that it used and the feedback for the entry
   */
  async place(call: Call): Promise<CallResult> {
    const result = await this.#attempt(call, INITIAL_PROGRESS);
    const { retriesSpent } = result;
    reportViolations(
      assertPromise(
        'retry-bound',
        retriesSpent <= call.retries,
        () => `${call.requestId} spent ${retriesSpent} retries of ${call.retries}`,
      ),
      this.#options.report,
    );
    return result;
  }

  /**
   * Finds the outstanding send of a call, so that it can be cancelled.
   *
   * @param requestId - identifier of the call
   * @returns the gate and the identifier of the send, or null when none is outstanding
   */
  findSend(requestId: string): { readonly peer: BackendServerName; readonly id: string } | null {
    return this.#sends.get(requestId) ?? null;
  }

  async #attempt(call: Call, progress: Progress): Promise<CallResult> {
    const choice = await this.#choose(call, progress);
    if (choice === null) {
      return {
        outcome: progress.outcome ?? {
          kind: 'refused',
          code: 'noBackendServer',
          retryAfterMs: 0,
        },
        retriesSpent: progress.retriesSpent,
        feedback: progress.feedback,
      };
    }
    const { backendServer } = choice;
    const retriesLeft = call.retries - progress.retriesSpent;
    // One retry is held back: a lost answer counts as if the gate had used its whole allotment.
    const allotment = Math.max(0, retriesLeft - 1);
    const attempt = await this.#send(call, { backendServer, allotment, number: progress.number });
    const assumedRetries = attempt.kind === 'lost' ? allotment : 0;
    const reportedRetries =
      attempt.kind === 'replied' ? attempt.answer.retriesSpent : assumedRetries;
    return this.#decideNext(call, backendServer, attempt, {
      ...progress,
      retriesSpent: progress.retriesSpent + Math.min(reportedRetries, allotment),
      feedback:
        attempt.kind === 'replied'
          ? [...progress.feedback, ...attempt.answer.feedback]
          : progress.feedback,
    });
  }

  async #decideNext(
    call: Call,
    backendServer: BackendServerName,
    attempt: Attempt,
    progress: Progress,
  ): Promise<CallResult> {
    const { clock, metrics } = this.#options;
    const retriesLeft = call.retries - progress.retriesSpent;
    const { number, outcome: earlier } = progress;
    const now = clock.now();
    const next = decideNextAttempt({
      call,
      backendServer,
      attempt,
      earlier,
      number,
      retriesLeft,
      now,
    });
    switch (next.kind) {
      case 'finish':
        return {
          outcome: next.outcome,
          retriesSpent: progress.retriesSpent,
          feedback: progress.feedback,
        };
      case 'retry':
        metrics.retries.inc();
        return this.#attempt(call, {
          number: progress.number + 1,
          retriesSpent: progress.retriesSpent + 1,
          excluded: new Set([...progress.excluded, next.excluded]),
          feedback: progress.feedback,
          outcome: next.outcome,
        });
    }
  }

  async #choose(call: Call, progress: Progress): Promise<Choice | null> {
    const choice = this.#tryChoose(call, progress);
    if (choice !== null || progress.number > 1) return choice;
    await this.#options.waitForCandidate(CANDIDATE_WAIT_MS);
    return this.#tryChoose(call, progress);
  }

  #tryChoose(call: Call, progress: Progress): Choice | null {
    const { candidates, zone, region, random, clock, log, metrics } = this.#options;
    const considered = candidates(call.service);
    const choice = chooseBackendServer({
      candidates: considered,
      ownZone: zone,
      ownRegion: region(),
      inFlight: (backendServer) => this.#inFlight.get(backendServer) ?? 0,
      excluded: progress.excluded,
      random,
      now: clock.now(),
    });
    const code = choice.match(
      ({ reason }) => (progress.number > 1 ? 'chosenRetry' : reason),
      (error) => error,
    );
    metrics.routing.inc({ code });
    log.write({
      kind: 'routing',
      ...subjectOf(call),
      zone,
      attempt: progress.number,
      candidates: considered.map((candidate) => ({
        backendServer: candidate.backendServer,
        zone: candidate.zone,
        busy: candidate.load === null ? null : candidate.load.running + candidate.load.queued,
        limit: candidate.load?.limit ?? null,
      })),
      choice: choice.map(({ backendServer }) => backendServer).unwrapOr(null),
      code,
    });
    return choice.unwrapOr(null);
  }

  async #send(
    call: Call,
    to: {
      readonly backendServer: BackendServerName;
      readonly allotment: number;
      readonly number: number;
    },
  ): Promise<Attempt> {
    const { send, report } = this.#options;
    const { backendServer, allotment } = to;
    const id = `${call.requestId}.${to.number}`;
    this.#adjustInFlight(backendServer, 1);
    this.#sends.set(call.requestId, { peer: backendServer, id });
    const attempt = await send(backendServer, { ...call, requestId: id, retries: allotment });
    this.#sends.delete(call.requestId);
    this.#adjustInFlight(backendServer, -1);
    const isOwnAnswer = attempt.kind !== 'replied' || attempt.answer.requestId === id;
    reportViolations(
      assertPromise('own-answer', isOwnAnswer, () => `${id} received the answer to another call`),
      report,
    );
    return attempt;
  }

  #adjustInFlight(backendServer: BackendServerName, delta: number): void {
    const count = (this.#inFlight.get(backendServer) ?? 0) + delta;
    if (count === 0) this.#inFlight.delete(backendServer);
    else this.#inFlight.set(backendServer, count);
  }
}
