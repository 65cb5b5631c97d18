import { OrderedSet } from 'immutable';
import type { Instant, Milliseconds } from '../model/time.js';
import { step, type Decision } from '../task/decision.js';

/** Number of a connection whose reading is paced, unique within a process. */
export type ReaderNumber = number;

/** Connections that have used up their share and wait to be read further. */
export interface ReadPacing {
  /** In the order in which their turns come. */
  readonly waiting: OrderedSet<ReaderNumber>;
  /** When the next of them may be read. */
  readonly nextAt: Instant;
  /** Whether `due` is to come. */
  readonly isDueExpected: boolean;
}

/** What happened to a connection. */
export type ReadPacingMessage =
  /** It has used up its portion of processor time and holds further bytes. */
  | { readonly kind: 'spent'; readonly reader: ReaderNumber }
  /** It was closed. */
  | { readonly kind: 'closed'; readonly reader: ReaderNumber }
  /** The time of the next grant has come. */
  | { readonly kind: 'due' };

/** Effects of the pacing. */
export type ReadPacingEffect =
  /** The connection may be read for another portion. */
  | { readonly kind: 'grant'; readonly reader: ReaderNumber }
  /** `due` is to be sent after this time. */
  | { readonly kind: 'wait'; readonly delayMs: Milliseconds };

/** Processor time for which a connection is read before the others have their turn. */
export const GRANT_US = 500;

/** Share of the processor for connections that need more than their first portion. */
const READING_SHARE = 0.25;

const US_PER_MS = 1000;

/** Time between two grants. */
const GRANT_INTERVAL_MS: Milliseconds = GRANT_US / US_PER_MS / READING_SHARE;

/** Pacing before any connection waits. */
export const initialReadPacing: ReadPacing = {
  waiting: OrderedSet(),
  nextAt: Number.NEGATIVE_INFINITY,
  isDueExpected: false,
};

/**
 * Decides when connections are read that bring more than their share of work. They take turns, and
 * all of them together get a part of the processor only, so that a backend server that sends without
 * end does not keep its node from serving others. The first portion of an answer needs no grant.
 *
 * @param state - the connections that wait
 * @param message - what happened
 * @param now - the current instant
 * @returns the next state, the connection to read and when to ask again
 */
export const decideReadPacing: Decision<ReadPacing, ReadPacingMessage, ReadPacingEffect> = (
  state,
  message,
  now,
) => {
  const { waiting, nextAt, isDueExpected } = state;
  switch (message.kind) {
    case 'spent': {
      const next = { ...state, waiting: waiting.add(message.reader), isDueExpected: true };
      if (isDueExpected) return step(next);
      return step(next, { kind: 'wait', delayMs: Math.max(0, nextAt - now) });
    }
    case 'closed':
      return step({ ...state, waiting: waiting.delete(message.reader) });
    case 'due': {
      const reader = waiting.first();
      if (reader === undefined) return step({ ...state, isDueExpected: false });
      const rest = waiting.delete(reader);
      const next = {
        waiting: rest,
        nextAt: now + GRANT_INTERVAL_MS,
        isDueExpected: !rest.isEmpty(),
      };
      const wait: ReadPacingEffect = { kind: 'wait', delayMs: GRANT_INTERVAL_MS };
      return step<ReadPacing, ReadPacingEffect>(
        next,
        { kind: 'grant', reader },
        ...(rest.isEmpty() ? [] : [wait]),
      );
    }
  }
};
