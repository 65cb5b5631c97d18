import type { CodeName } from '../errors/registry.js';
import { step, type Step } from '../task/decision.js';

/** Number of a request on its connection, in the order in which the requests were read. */
export type RequestNumber = number;

/** Progress of a request on its connection. */
type Stage =
  /** Read, but not handled yet. */
  | 'waiting'
  | 'running'
  /** Its answer waits behind the answers of earlier requests. */
  | 'answered';

interface PipelinedRequest {
  readonly number: RequestNumber;
  readonly stage: Stage;
  /** Size of its body, and of its answer once that is known. */
  readonly bytes: number;
}

/** What follows the last request that was taken from a connection. */
type Ending =
  /** Further requests are taken. */
  | { readonly kind: 'none' }
  /** The last answer closes the connection; requests behind it count as unread. */
  | { readonly kind: 'last-answer' }
  /** The bytes behind the last request cannot be read; a refusal follows its answer. */
  | { readonly kind: 'refusal'; readonly code: CodeName }
  /** The last answer or the refusal has been written. */
  | { readonly kind: 'closed' };

/** Requests of one connection that have not been answered, in order. */
export interface CallerPipeline {
  readonly requests: readonly PipelinedRequest[];
  readonly ending: Ending;
}

/** Condition of the node that decides about a connection. */
export interface PipelineConditions {
  /** Whether the node is stopping, so that connections end with their next last answer. */
  readonly isStopping: boolean;
  /** Whether requests wait, in case their callers left during a pause of the process. */
  readonly isHeld: boolean;
}

/** What happened on a connection. */
export type PipelineEvent =
  | {
      readonly kind: 'request-read';
      readonly number: RequestNumber;
      readonly bytes: number;
      /** Whether no further request is taken after this one. */
      readonly isLast: boolean;
    }
  | { readonly kind: 'answered'; readonly number: RequestNumber; readonly bytes: number }
  /** The following bytes are no request, or its rest did not arrive in time. */
  | { readonly kind: 'unreadable'; readonly code: CodeName }
  | { readonly kind: 'released' };

/** Message about a connection. */
export type PipelineMessage = PipelineEvent & PipelineConditions;

/** Action on a connection. */
export type PipelineEffect =
  | { readonly kind: 'handle'; readonly number: RequestNumber }
  /** Nothing is handled or answered; the caller takes the request as unread. */
  | { readonly kind: 'discard'; readonly number: RequestNumber }
  | { readonly kind: 'write'; readonly number: RequestNumber; readonly isLast: boolean }
  | { readonly kind: 'refuse'; readonly code: CodeName };

type PipelineStep = Step<CallerPipeline, PipelineEffect>;

/** Connection without requests. */
export const emptyPipeline: CallerPipeline = { requests: [], ending: { kind: 'none' } };

/**
 * Requests of one connection that are handled at the same time. A browser keeps 6 to 100 requests
 * open to one host, on several connections or streams.
 */
const MAX_RUNNING_REQUESTS = 64;

/**
 * Bytes that the requests of one connection hold before no further one is taken. The first request
 * is always taken; its size has a limit of its own.
 */
const MAX_HELD_BYTES = 2_000_000;

const NO_REQUESTS: readonly PipelinedRequest[] = [];

const NO_EFFECTS: readonly PipelineEffect[] = [];

function countRunning({ requests }: CallerPipeline): number {
  return requests.reduce((count, { stage }) => (stage === 'running' ? count + 1 : count), 0);
}

function countHeldBytes({ requests }: CallerPipeline): number {
  return requests.reduce((sum, { bytes }) => sum + bytes, 0);
}

/**
 * Tells whether more of a connection is to be read. Requests that are already in memory wait.
 *
 * @param pipeline - the connection
 * @returns whether a further request would be handled now, or only discarded
 */
export function isReadable(pipeline: CallerPipeline): boolean {
  const { requests, ending } = pipeline;
  if (ending.kind === 'closed' || requests.length === 0) return true;
  return requests.length < MAX_RUNNING_REQUESTS && countHeldBytes(pipeline) < MAX_HELD_BYTES;
}

/** Handles waiting requests, in order, while there is room. */
function startWaiting(before: CallerPipeline, { isHeld }: PipelineConditions): PipelineStep {
  if (isHeld || !before.requests.some(({ stage }) => stage === 'waiting')) return step(before);
  let room = MAX_RUNNING_REQUESTS - countRunning(before);
  if (countHeldBytes(before) >= MAX_HELD_BYTES) room = Math.min(room, 0);
  const effects: PipelineEffect[] = [];
  const requests = before.requests.map((request, index): PipelinedRequest => {
    // The first request is handled in any case, or the others would wait for ever.
    if (request.stage !== 'waiting' || (room <= 0 && index > 0)) return request;
    room -= 1;
    effects.push({ kind: 'handle', number: request.number });
    return { ...request, stage: 'running' };
  });
  return step({ ...before, requests }, ...effects);
}

/** Writes the answers that no earlier request holds back, and the refusal behind them. */
function writeAnswers(before: CallerPipeline, { isStopping }: PipelineConditions): PipelineStep {
  const { ending } = before;
  const unanswered = before.requests.findIndex(({ stage }) => stage !== 'answered');
  const ready = unanswered < 0 ? before.requests.length : unanswered;
  const isAllReady = ready === before.requests.length;
  const requests = isAllReady ? NO_REQUESTS : before.requests.slice(ready);
  const endsWithAnswer =
    isAllReady &&
    ready > 0 &&
    (ending.kind === 'last-answer' || (ending.kind === 'none' && isStopping));
  const effects: readonly PipelineEffect[] =
    ready === 0
      ? NO_EFFECTS
      : before.requests.slice(0, ready).map(({ number }, index) => ({
          kind: 'write',
          number,
          isLast: endsWithAnswer && index === ready - 1,
        }));
  if (isAllReady && ending.kind === 'refusal') {
    const refusal: PipelineEffect = { kind: 'refuse', code: ending.code };
    return step({ requests, ending: { kind: 'closed' } }, ...effects, refusal);
  }
  const next: Ending = endsWithAnswer ? { kind: 'closed' } : ending;
  return { state: { requests, ending: next }, effects };
}

function readRequest(
  before: CallerPipeline,
  message: PipelineMessage & { readonly kind: 'request-read' },
): PipelineStep {
  const { number, bytes, isLast, isStopping, isHeld } = message;
  const { requests, ending } = before;
  const isUnread = ending.kind !== 'none' || (isStopping && requests.length > 0);
  if (isUnread) {
    const next: Ending = ending.kind === 'none' ? { kind: 'last-answer' } : ending;
    return step({ requests, ending: next }, { kind: 'discard', number });
  }
  const next: Ending = isLast ? { kind: 'last-answer' } : ending;
  // Most connections carry one request at a time.
  if (requests.length === 0 && !isHeld) {
    const running: PipelinedRequest = { number, stage: 'running', bytes };
    return step({ requests: [running], ending: next }, { kind: 'handle', number });
  }
  const waiting: PipelinedRequest = { number, stage: 'waiting', bytes };
  return startWaiting({ requests: [...requests, waiting], ending: next }, message);
}

function recordAnswer(
  before: CallerPipeline,
  message: PipelineMessage & { readonly kind: 'answered' },
): PipelineStep {
  const requests = before.requests.map((request): PipelinedRequest =>
    request.number === message.number
      ? { number: request.number, stage: 'answered', bytes: message.bytes }
      : request,
  );
  const written = writeAnswers({ requests, ending: before.ending }, message);
  const started = startWaiting(written.state, message);
  return started.effects.length === 0
    ? written
    : step(started.state, ...written.effects, ...started.effects);
}

/**
 * Decides about the requests of one connection (HTTP pipelining): they are handled as they are
 * read, up to a bound, and answered in their order. Each request that is handled is answered before
 * the connection closes, and nothing behind the answer that closes it is handled.
 *
 * @param before - the connection
 * @param message - what happened on it
 * @returns the connection and the actions, in order
 */
export function decidePipeline(before: CallerPipeline, message: PipelineMessage): PipelineStep {
  switch (message.kind) {
    case 'request-read':
      return readRequest(before, message);
    case 'answered':
      return recordAnswer(before, message);
    case 'unreadable': {
      if (before.ending.kind !== 'none') return step(before);
      return writeAnswers({ ...before, ending: { kind: 'refusal', code: message.code } }, message);
    }
    case 'released':
      return startWaiting(before, { ...message, isHeld: false });
  }
}
