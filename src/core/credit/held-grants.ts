import { Map, OrderedMap } from 'immutable';
import type { BackendServerName, RequestId } from '../model/names.js';
import type { Instant, Milliseconds } from '../model/time.js';
import { GRANT_LIFETIME_MS } from './bucket.js';

/** A seat that has not answered a draw within this time counts as unreachable. */
export const ANSWER_TIMEOUT_MS = 50;

/** No draws are sent to an unreachable seat for this time. */
const UNREACHABLE_BACKOFF_MS = 500;

/** Shortest and longest backoff after a seat granted fewer tokens than needed. */
const MIN_BACKOFF_MS = 10;
const MAX_BACKOFF_MS = 200;

/** Time constant of the exponentially decaying demand estimate. */
const DEMAND_DECAY_MS = 1000;

/** Tokens are returned this long before they expire, so that the settlement arrives in time. */
const RETURN_MARGIN_MS = 30;

/** Replacements for tokens are drawn this long before they expire. */
const REPLACE_MARGIN_MS = 60;

/** A grant whose tokens the entry may spend. */
export interface HeldGrant {
  readonly drawId: number;
  readonly seat: BackendServerName;
  readonly tokens: number;
  readonly spent: number;
  readonly expiresAt: Instant;
}

/** A draw that has no grant yet. */
export interface PendingDraw {
  readonly seat: BackendServerName;
  readonly want: number;
  /** The seat is put into backoff when it grants fewer tokens than this. */
  readonly need: number;
  readonly isAhead: boolean;
  readonly sentAt: Instant;
}

/** Backoff state of a seat for one account. */
interface SeatState {
  readonly retryAt: Instant;
  /** Estimate by the quota server of when it has a whole token again. */
  readonly tokenExpectedAt: Instant;
  /** Consecutive draws that were granted fewer tokens than needed. */
  readonly shortfalls: number;
}

/** Grants, draws and waiting requests of one account at one entry. */
export interface HeldGrants {
  /** Seats of the account in the order in which draws are sent to them. */
  readonly seats: readonly BackendServerName[];
  /** Draws start at the first seat of a pool, since the first one up has leased all shares. */
  readonly isPooled: boolean;
  /** Rate and burst of the account over all entries. */
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly nextSeatIndex: number;
  readonly seatStates: Map<BackendServerName, SeatState>;
  readonly grants: OrderedMap<number, HeldGrant>;
  readonly pending: OrderedMap<number, PendingDraw>;
  readonly waiting: OrderedMap<RequestId, Instant>;
  /** Exponentially decayed number of spends, as of `demandUpdatedAt`. */
  readonly demand: number;
  readonly demandUpdatedAt: Instant;
  readonly prefetchRetryAt: Instant;
}

/** The configured part of an account's state. */
export type AccountSeats = Pick<HeldGrants, 'seats' | 'isPooled' | 'ratePerSecond' | 'burst'>;

const INITIAL_SEAT_STATE: SeatState = { retryAt: 0, tokenExpectedAt: 0, shortfalls: 0 };

/**
 * Creates the state of an account without grants.
 *
 * @param account - the account's seats, rate and burst
 * @param offset - index of the first seat to draw from, which spreads entries over the seats
 * @param now - the present instant
 * @returns the account's state
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
 * @param held - the account's state
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
 * Adds one spend to the demand estimate.
 *
 * @param held - the account's state
 * @param now - the present instant
 * @returns the state with the new demand
 */
export function recordSpend(held: HeldGrants, now: Instant): HeldGrants {
  return {
    ...held,
    demand: (demandPerSecond(held, now) * DEMAND_DECAY_MS) / 1000 + 1,
    demandUpdatedAt: now,
  };
}

/**
 * Lists the seats that are not in backoff, starting with the next one in rotation.
 *
 * @param held - the account's state
 * @param now - the present instant
 * @returns seats to which a draw may be sent
 */
export function availableSeats(held: HeldGrants, now: Instant): readonly BackendServerName[] {
  const { seats, nextSeatIndex, seatStates } = held;
  return [...seats.slice(nextSeatIndex), ...seats.slice(0, nextSeatIndex)].filter(
    (seat) => (seatStates.get(seat) ?? INITIAL_SEAT_STATE).retryAt <= now,
  );
}

/**
 * Counts the tokens in flight that may still arrive in time for a waiting request.
 *
 * @param held - the account's state
 * @param now - the present instant
 * @returns tokens wanted by draws younger than the answer timeout
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
 * @param held - the account's state
 * @param now - the present instant
 * @returns unspent tokens outside the replacement margin
 */
export function longLivedTokens(held: HeldGrants, now: Instant): number {
  return held.grants.reduce(
    (sum, { tokens, spent, expiresAt }) =>
      expiresAt - now > REPLACE_MARGIN_MS ? sum + tokens - spent : sum,
    0,
  );
}

/**
 * Finds the oldest grant with an unspent, unexpired token.
 *
 * @param held - the account's state
 * @param now - the present instant
 * @returns the grant, or undefined
 */
export function spendableGrant(held: HeldGrants, now: Instant): HeldGrant | undefined {
  return held.grants.find(({ tokens, spent, expiresAt }) => spent < tokens && now < expiresAt);
}

/**
 * Checks whether a grant is used up or about to expire, so that it has to be settled.
 *
 * @param grant - the grant
 * @param now - the present instant
 * @returns true when no more tokens will be spent from it
 */
export function isDueForSettlement(grant: HeldGrant, now: Instant): boolean {
  return grant.spent === grant.tokens || grant.expiresAt - now <= RETURN_MARGIN_MS;
}

/**
 * Records a draw that was sent.
 *
 * @param held - the account's state
 * @param drawId - its identifier
 * @param draw - the draw
 * @returns the next state; without a pool, the rotation moves on to the following seat
 */
export function recordDraw(held: HeldGrants, drawId: number, draw: PendingDraw): HeldGrants {
  const followingIndex = (held.seats.indexOf(draw.seat) + 1) % Math.max(1, held.seats.length);
  const nextSeatIndex = held.isPooled ? 0 : followingIndex;
  return { ...held, nextSeatIndex, pending: held.pending.set(drawId, draw) };
}

/**
 * Records how many of the needed tokens a seat granted. The backoff doubles with each shortfall, so
 * that a flooding account causes few messages; it starts short, so that an account inside its rate
 * is not refused.
 *
 * @param held - the account's state
 * @param seat - the seat
 * @param answer - granted and needed tokens, and the quota server's estimate of its next token
 * @param now - the present instant
 * @returns the account's next state
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
 * Puts a seat that is unreachable or does not answer into backoff.
 *
 * @param held - the account's state
 * @param seat - the seat
 * @param now - the present instant
 * @returns the account's next state
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
 * Marks seats that did not answer in time as unreachable, and removes draws whose grant would have
 * expired.
 *
 * @param held - the account's state
 * @param now - the present instant
 * @returns the account's next state
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
 * Estimates when a token may be available for a refused caller.
 *
 * @param held - the account's state
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
