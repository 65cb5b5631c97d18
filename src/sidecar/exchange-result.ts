import type { DispatchEnd } from '../core/dispatch/dispatch-end.js';
import { refusedOutcome, type MeshOutcome } from '../core/exchange/mesh-call.js';
import { hasManySmallPieces, type AnswerCost } from '../core/reading/answer-cost.js';
import type { ExchangeEnd, FailureReason } from './backend-exchange.js';

/** What the end of an exchange means. */
export interface ExchangeResult {
  /** Outcome for the caller. */
  readonly outcome: MeshOutcome;
  /** How the call ended for the gate. */
  readonly end: DispatchEnd;
}

/**
 * Only an answer that passed a bound on what arrived shows a server that sends without end. Others
 * end before they cost much, and depend on the caller's request and timeout or on the node's memory.
 */
function failedEnd(reason: FailureReason, cost: AnswerCost): DispatchEnd {
  switch (reason) {
    case 'overhead':
    case 'body-too-long':
      return 'excessive';
    case 'length-too-large':
    case 'head-too-large':
    case 'evicted':
      return 'inconclusive';
    case 'abandoned':
      return hasManySmallPieces(cost) ? 'inconclusive' : 'failed';
    case 'connection-broken':
    case 'invalid':
      return 'failed';
  }
}

/**
 * Derives from the end of an exchange what its caller and the gate learn.
 *
 * @param end - how the exchange ended
 * @param cost - what its answer had cost until then
 * @returns the outcome and the end of the call
 */
export function exchangeResult(end: ExchangeEnd, cost: AnswerCost): ExchangeResult {
  switch (end.kind) {
    case 'answered': {
      const { status, headers } = end.head;
      return {
        outcome: { kind: 'answered', status, headers, body: end.body },
        end: 'answered',
      };
    }
    case 'shed': {
      const { isMisdirected } = end.head;
      const code = isMisdirected ? 'instanceReplaced' : 'serverShed';
      return { outcome: refusedOutcome(code, !isMisdirected), end: 'shed' };
    }
    case 'unsent':
      return { outcome: refusedOutcome(end.code), end: 'failed' };
    case 'failed':
      return {
        outcome: { kind: 'failed', code: end.code },
        end: failedEnd(end.reason, cost),
      };
  }
}
