import { Map, OrderedMap } from 'immutable';
import type { BackendServerName, RequestId } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { GRANT_LIFETIME_MS } from './bucket.js';

/** A seat that has not answered a draw within this time is passed over. */
export const ANSWER_LIMIT_MS = 50;

/** A silent or unreachable seat is not asked again for this time. */
const SILENT_MS = 500;

/** First and longest time without a question to a seat that gave less than asked for. */
const PAUSE_MIN_MS = 10;
const PAUSE_MAX_MS = 200;

/** Time constant of the demand estimate. */
const DEMAND_MS = 1000;

/** Tokens go back this long before they expire, so that the report reaches the holder in time. */
const RETURN_BEFORE_MS = 30;

/** Replacements are drawn this long before tokens expire. */
const REPLACE_BEFORE_MS = 60;

/** Tokens held by the entry. */
export interface HeldGrant {
  readonly drawId: number;
  readonly seat: BackendServerName;
  readonly tokens: number;
  readonly spent: number;
  readonly expiresAt: Instant;
}

/** A draw without a grant so far. */
export interface PendingDraw {
  readonly seat: BackendServerName;
  readonly want: number;
  /** Tokens without which the draw counts as refused. */
  readonly need: number;
  readonly isAhead: boolean;
  readonly sentAt: Instant;
}

/** What the entry knows of a seat for one account. */
interface SeatView {
  readonly askAgainAt: Instant;
  /** The holder's estimate of its next whole token. */
  readonly tokenAt: Instant;
  /** Draws in a row that gave less than was needed. */
  readonly shortfalls: number;
}

/** Grants, draws and waiting requests of one account at one entry. */
export interface HeldGrants {
  /** Seats of the account in the order in which they are asked. */
  readonly seats: readonly BackendServerName[];
  /** Seats of a pool are always asked in order, since the first one up has the shares of all. */
  readonly isPooled: boolean;
  /** Rate and burst of the account over all entries. */
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly nextSeat: number;
  readonly views: Map<BackendServerName, SeatView>;
  readonly grants: OrderedMap<number, HeldGrant>;
  readonly pending: OrderedMap<number, PendingDraw>;
  readonly waiting: OrderedMap<RequestId, Instant>;
  /** Spends of the last seconds, decayed. */
  readonly demand: number;
  readonly demandAt: Instant;
  readonly aheadAgainAt: Instant;
}

/** What the grants of an account take from the configuration. */
export type AccountSeats = Pick<HeldGrants, 'seats' | 'isPooled' | 'ratePerSecond' | 'burst'>;

const FRESH_VIEW: SeatView = { askAgainAt: 0, tokenAt: 0, shortfalls: 0 };

/**
 * Starts without grants.
 *
 * @param account - the account's seats, rate and burst
 * @param offset - where this entry starts to ask, so that entries spread over the seats
 * @param now - the present instant
 * @returns what is held for the account
 */
export function nothingHeld(account: AccountSeats, offset: number, now: Instant): HeldGrants {
  const { seats, isPooled } = account;
  return {
    ...account,
    nextSeat: seats.length === 0 || isPooled ? 0 : offset % seats.length,
    views: Map(),
    grants: OrderedMap(),
    pending: OrderedMap(),
    waiting: OrderedMap(),
    demand: 0,
    demandAt: now,
    aheadAgainAt: now,
  };
}

/**
 * Estimates the demand.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns spends per second, averaged over about the last second
 */
export function demandPerSecond(held: HeldGrants, now: Instant): number {
  return (held.demand * Math.exp((held.demandAt - now) / DEMAND_MS) * 1000) / DEMAND_MS;
}

/**
 * Counts one spend.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns what is held with the new demand
 */
export function countDemand(held: HeldGrants, now: Instant): HeldGrants {
  return {
    ...held,
    demand: (demandPerSecond(held, now) * DEMAND_MS) / 1000 + 1,
    demandAt: now,
  };
}

/**
 * Finds the seats that may be asked now, starting with the one whose turn it is.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns seats neither silent nor paused
 */
export function askableSeats(held: HeldGrants, now: Instant): readonly BackendServerName[] {
  const { seats, nextSeat, views } = held;
  return [...seats.slice(nextSeat), ...seats.slice(0, nextSeat)].filter(
    (seat) => (views.get(seat) ?? FRESH_VIEW).askAgainAt <= now,
  );
}

/**
 * Counts the requested tokens that may still come in time for a waiting request.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns tokens of draws younger than the answer limit
 */
export function tokensUnderWay(held: HeldGrants, now: Instant): number {
  return held.pending.reduce(
    (sum, { want, sentAt }) => (sentAt > now - ANSWER_LIMIT_MS ? sum + want : sum),
    0,
  );
}

/**
 * Counts the tokens that need no replacement yet.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns unspent tokens that live long enough
 */
export function lastingTokens(held: HeldGrants, now: Instant): number {
  return held.grants.reduce(
    (sum, { tokens, spent, expiresAt }) =>
      expiresAt - now > REPLACE_BEFORE_MS ? sum + tokens - spent : sum,
    0,
  );
}

/**
 * Finds the oldest grant with a valid token.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns the grant, or undefined
 */
export function spendableGrant(held: HeldGrants, now: Instant): HeldGrant | undefined {
  return held.grants.find(({ tokens, spent, expiresAt }) => spent < tokens && now < expiresAt);
}

/**
 * Tells whether a grant has to be closed: used up, or about to expire.
 *
 * @param grant - the grant
 * @param now - the present instant
 * @returns true when nothing more will be spent from it
 */
export function isClosing(grant: HeldGrant, now: Instant): boolean {
  return grant.spent === grant.tokens || grant.expiresAt - now <= RETURN_BEFORE_MS;
}

/**
 * Notes a draw that was sent.
 *
 * @param held - what is held for the account
 * @param drawId - its identifier
 * @param draw - the draw
 * @returns what is held; without a pool the turn passes to the following seat
 */
export function notePending(held: HeldGrants, drawId: number, draw: PendingDraw): HeldGrants {
  const following = (held.seats.indexOf(draw.seat) + 1) % Math.max(1, held.seats.length);
  const nextSeat = held.isPooled ? 0 : following;
  return { ...held, nextSeat, pending: held.pending.set(drawId, draw) };
}

/**
 * Notes how fully a seat answered. Pauses double, so that an account that floods costs few
 * messages; one shortfall pauses briefly, so that an account inside its rate is not refused.
 *
 * @param held - what is held for the account
 * @param seat - the seat
 * @param answer - missing tokens and the holder's estimate
 * @param now - the present instant
 * @returns what is held for the account
 */
export function noteAnswer(
  held: HeldGrants,
  seat: BackendServerName,
  answer: { readonly given: number; readonly need: number; readonly retryAfterMs: Milliseconds },
  now: Instant,
): HeldGrants {
  const { given, need, retryAfterMs } = answer;
  if (given >= need) return { ...held, views: held.views.delete(seat) };
  const shortfalls = (held.views.get(seat) ?? FRESH_VIEW).shortfalls + 1;
  const backOffMs = PAUSE_MIN_MS * 2 ** Math.min(shortfalls - 1, 10);
  const pauseMs = Math.min(PAUSE_MAX_MS, Math.max(backOffMs, given === 0 ? retryAfterMs : 0));
  const view = { askAgainAt: now + pauseMs, tokenAt: now + retryAfterMs, shortfalls };
  return { ...held, views: held.views.set(seat, view) };
}

/**
 * Passes over a seat that cannot be reached or does not answer.
 *
 * @param held - what is held for the account
 * @param seat - the seat
 * @param now - the present instant
 * @returns what is held for the account
 */
export function noteSilence(held: HeldGrants, seat: BackendServerName, now: Instant): HeldGrants {
  const view = { askAgainAt: now + SILENT_MS, tokenAt: now + SILENT_MS, shortfalls: 1 };
  return { ...held, views: held.views.set(seat, view) };
}

/**
 * Ends draws that were not answered in time and forgets those whose grant would be expired.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns what is held for the account
 */
export function reviewPending(held: HeldGrants, now: Instant): HeldGrants {
  return held.pending.reduce((next, { seat, sentAt }, drawId) => {
    if (now - sentAt < ANSWER_LIMIT_MS) return next;
    const isPassed = (next.views.get(seat) ?? FRESH_VIEW).askAgainAt > now;
    const silent = isPassed ? next : noteSilence(next, seat, now);
    const isOver = now - sentAt >= GRANT_LIFETIME_MS;
    return isOver ? { ...silent, pending: silent.pending.delete(drawId) } : silent;
  }, held);
}

/**
 * Estimates when a refused caller may find a token.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns time in milliseconds, at least 1
 */
export function retryAfter(held: HeldGrants, now: Instant): Milliseconds {
  const instants = held.seats.map((seat) => (held.views.get(seat) ?? FRESH_VIEW).tokenAt);
  const soonest = instants.length === 0 ? now + SILENT_MS : Math.min(...instants);
  return Math.max(1, Math.ceil(soonest - now));
}
