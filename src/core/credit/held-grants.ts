import { Map, OrderedMap } from 'immutable';
import type { BackendServerName, RequestId } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { GRANT_LIFETIME_MS } from './bucket.js';

/** A seat that has not answered a draw within this time is passed over. */
export const ANSWER_TIMEOUT_MS = 50;

/** A silent or unreachable seat is not asked again for this time. */
const UNREACHABLE_BACKOFF_MS = 500;

/** First and longest time without a question to a seat that gave less than asked for. */
const MIN_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 200;

/** Time constant of the demand estimate. */
const DEMAND_DECAY_MS = 1000;

/** Tokens go back this long before they expire, so that the report reaches the holder in time. */
const RETURN_MARGIN_MS = 30;

/** Replacements are drawn this long before tokens expire. */
const REPLACE_MARGIN_MS = 60;

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
interface SeatState {
  readonly retryAt: Instant;
  /** The holder's estimate of its next whole token. */
  readonly tokenExpectedAt: Instant;
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
  readonly nextSeatIndex: number;
  readonly seatStates: Map<BackendServerName, SeatState>;
  readonly grants: OrderedMap<number, HeldGrant>;
  readonly pending: OrderedMap<number, PendingDraw>;
  readonly waiting: OrderedMap<RequestId, Instant>;
  /** Spends of the last seconds, decayed. */
  readonly demand: number;
  readonly demandUpdatedAt: Instant;
  readonly prefetchRetryAt: Instant;
}

/** What the grants of an account take from the configuration. */
export type AccountSeats = Pick<HeldGrants, 'seats' | 'isPooled' | 'ratePerSecond' | 'burst'>;

const INITIAL_SEAT_STATE: SeatState = { retryAt: 0, tokenExpectedAt: 0, shortfalls: 0 };

/**
 * Starts without grants.
 *
 * @param account - the account's seats, rate and burst
 * @param offset - where this entry starts to ask, so that entries spread over the seats
 * @param now - the present instant
 * @returns what is held for the account
 */
export function initialHeldGrants(account: AccountSeats, offset: number, now: Instant): HeldGrants {
  const { seats, isPooled } = account;
  return {
    ...account,
    nextSeatIndex: seats.length === 0 || isPooled ? 0 : offset % seats.length,
    seatStates: Map(),
    grants: OrderedMap(),
    pending: OrderedMap(),
    waiting: OrderedMap(),
    demand: 0,
    demandUpdatedAt: now,
    prefetchRetryAt: now,
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
  return (
    (held.demand * Math.exp((held.demandUpdatedAt - now) / DEMAND_DECAY_MS) * 1000) /
    DEMAND_DECAY_MS
  );
}

/**
 * Counts one spend.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns what is held with the new demand
 */
export function recordSpend(held: HeldGrants, now: Instant): HeldGrants {
  return {
    ...held,
    demand: (demandPerSecond(held, now) * DEMAND_DECAY_MS) / 1000 + 1,
    demandUpdatedAt: now,
  };
}

/**
 * Finds the seats that may be asked now, starting with the one whose turn it is.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns seats neither silent nor paused
 */
export function availableSeats(held: HeldGrants, now: Instant): readonly BackendServerName[] {
  const { seats, nextSeatIndex, seatStates } = held;
  return [...seats.slice(nextSeatIndex), ...seats.slice(0, nextSeatIndex)].filter(
    (seat) => (seatStates.get(seat) ?? INITIAL_SEAT_STATE).retryAt <= now,
  );
}

/**
 * Counts the requested tokens that may still come in time for a waiting request.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns tokens of draws younger than the answer limit
 */
export function tokensInFlight(held: HeldGrants, now: Instant): number {
  return held.pending.reduce(
    (sum, { want, sentAt }) => (sentAt > now - ANSWER_TIMEOUT_MS ? sum + want : sum),
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
export function longLivedTokens(held: HeldGrants, now: Instant): number {
  return held.grants.reduce(
    (sum, { tokens, spent, expiresAt }) =>
      expiresAt - now > REPLACE_MARGIN_MS ? sum + tokens - spent : sum,
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
export function isDueForSettlement(grant: HeldGrant, now: Instant): boolean {
  return grant.spent === grant.tokens || grant.expiresAt - now <= RETURN_MARGIN_MS;
}

/**
 * Notes a draw that was sent.
 *
 * @param held - what is held for the account
 * @param drawId - its identifier
 * @param draw - the draw
 * @returns what is held; without a pool the turn passes to the following seat
 */
export function recordDraw(held: HeldGrants, drawId: number, draw: PendingDraw): HeldGrants {
  const followingIndex = (held.seats.indexOf(draw.seat) + 1) % Math.max(1, held.seats.length);
  const nextSeatIndex = held.isPooled ? 0 : followingIndex;
  return { ...held, nextSeatIndex, pending: held.pending.set(drawId, draw) };
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
export function recordAnswer(
  held: HeldGrants,
  seat: BackendServerName,
  answer: { readonly given: number; readonly need: number; readonly retryAfterMs: Milliseconds },
  now: Instant,
): HeldGrants {
  const { given, need, retryAfterMs } = answer;
  if (given >= need) return { ...held, seatStates: held.seatStates.delete(seat) };
  const shortfalls = (held.seatStates.get(seat) ?? INITIAL_SEAT_STATE).shortfalls + 1;
  const backoffMs = MIN_BACKOFF_MS * 2 ** Math.min(shortfalls - 1, 10);
  const pauseMs = Math.min(MAX_BACKOFF_MS, Math.max(backoffMs, given === 0 ? retryAfterMs : 0));
  const state = { retryAt: now + pauseMs, tokenExpectedAt: now + retryAfterMs, shortfalls };
  return { ...held, seatStates: held.seatStates.set(seat, state) };
}

/**
 * Passes over a seat that cannot be reached or does not answer.
 *
 * @param held - what is held for the account
 * @param seat - the seat
 * @param now - the present instant
 * @returns what is held for the account
 */
export function markUnreachable(
  held: HeldGrants,
  seat: BackendServerName,
  now: Instant,
): HeldGrants {
  const state = {
    retryAt: now + UNREACHABLE_BACKOFF_MS,
    tokenExpectedAt: now + UNREACHABLE_BACKOFF_MS,
    shortfalls: 1,
  };
  return { ...held, seatStates: held.seatStates.set(seat, state) };
}

/**
 * Ends draws that were not answered in time and forgets those whose grant would be expired.
 *
 * @param held - what is held for the account
 * @param now - the present instant
 * @returns what is held for the account
 */
export function expirePendingDraws(held: HeldGrants, now: Instant): HeldGrants {
  return held.pending.reduce((next, { seat, sentAt }, drawId) => {
    if (now - sentAt < ANSWER_TIMEOUT_MS) return next;
    const isBackingOff = (next.seatStates.get(seat) ?? INITIAL_SEAT_STATE).retryAt > now;
    const reviewed = isBackingOff ? next : markUnreachable(next, seat, now);
    const isExpired = now - sentAt >= GRANT_LIFETIME_MS;
    return isExpired ? { ...reviewed, pending: reviewed.pending.delete(drawId) } : reviewed;
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
  const instants = held.seats.map(
    (seat) => (held.seatStates.get(seat) ?? INITIAL_SEAT_STATE).tokenExpectedAt,
  );
  const soonest = instants.length === 0 ? now + UNREACHABLE_BACKOFF_MS : Math.min(...instants);
  return Math.max(1, Math.ceil(soonest - now));
}
