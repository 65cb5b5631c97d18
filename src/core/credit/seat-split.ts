import type { Account } from '../model/configuration.js';
import type { BackendServerName } from '../model/names.js';
import { rankByRendezvous } from '../routing/rendezvous.js';

/** More seats would lose less of an account with one host, but ask more seats before a refusal. */
const MAX_SEATS = 5;

/**
 * With fewer tokens than this over five seats, buckets lose refill whenever one is full: with
 * Poisson arrivals at 90% of the rate, rate 60 and burst 24 saw 1% wrongful refusals, rate 100
 * and burst 50 0.06%, rate 200 and burst 100 none. 12 tokens for each seat are enough.
 */
const POOLED_BURST_TOKENS = 12 * MAX_SEATS;

/** The part of an account's rate and burst that one seat holds. */
export interface SeatShare {
  readonly seat: BackendServerName;
  readonly ratePerSecond: number;
  /** Whole tokens. */
  readonly burst: number;
}

/**
 * Tells whether the seats of an account lease their shares to the first of them that is up. Larger
 * accounts do without, since one holder would have to answer all their draws.
 *
 * @param account - the account
 * @returns true for a small burst
 */
export function isPooled({ burst }: Pick<Account, 'burst'>): boolean {
  return burst < POOLED_BURST_TOKENS;
}

/**
 * Splits an account over its seats. Every seat holds at least two tokens where the burst allows
 * it, so that a request does not depend on one seat's last fraction of a token.
 *
 * @param account - the account with its rate and burst
 * @param seats - all seats of the configuration
 * @returns the shares in rendezvous order; none when there are no seats
 */
export function splitOverSeats(
  account: Pick<Account, 'name' | 'ratePerSecond' | 'burst'>,
  seats: readonly BackendServerName[],
): readonly SeatShare[] {
  const { name, ratePerSecond, burst } = account;
  const wanted = Math.min(Math.floor(burst / 2), Math.floor(ratePerSecond));
  const chosen = rankByRendezvous(name, seats).slice(0, Math.min(Math.max(wanted, 1), MAX_SEATS));
  const tokens = Math.floor(burst);
  const base = Math.floor(tokens / chosen.length);
  return chosen.map((seat, index) => {
    const part = base + (index < tokens % chosen.length ? 1 : 0);
    return { seat, burst: part, ratePerSecond: tokens === 0 ? 0 : (ratePerSecond * part) / tokens };
  });
}

/**
 * Finds where an entry starts in the order of seats, so that entries start at different ones.
 *
 * @param node - name of the entry's backend server
 * @returns the sum of its character codes, which spreads numbered names
 */
export function seatOffset(node: BackendServerName): number {
  return [...node].reduce((sum, character) => sum + (character.codePointAt(0) ?? 0), 0);
}
