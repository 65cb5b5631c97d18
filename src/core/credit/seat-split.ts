import type { Account } from '../model/configuration.js';
import type { BackendServerName } from '../model/names.js';
import { rankByRendezvous } from '../routing/rendezvous.js';

/** More seats lose a smaller share with one host, but need more draws before a refusal. */
const MAX_SEATS = 5;

/**
 * Accounts with a smaller burst are pooled. Split over five seats, their small buckets are often
 * full and lose refill: with Poisson arrivals at 90% of the rate, rate 60 and burst 24 had 1%
 * wrongful refusals, rate 100 and burst 50 had 0.06%, rate 200 and burst 100 had none. 12 tokens
 * for each seat are enough.
 */
const POOLED_BURST_TOKENS = 12 * MAX_SEATS;

/** Share of one seat in an account's rate and burst. */
export interface SeatShare {
  readonly seat: BackendServerName;
  readonly ratePerSecond: number;
  /** Whole tokens. */
  readonly burst: number;
}

/**
 * Checks whether the seats of an account form a pool, in which they lease their shares to the first
 * seat that is up. Larger accounts have no pool, since one quota server would answer all draws.
 *
 * @param account - the account
 * @returns true for a small burst
 */
export function isPooled({ burst }: Pick<Account, 'burst'>): boolean {
  return burst < POOLED_BURST_TOKENS;
}

/**
 * Splits an account over its seats. Where the burst allows it, each seat holds at least two tokens,
 * so that a request is not refused for a fraction of a token at one seat.
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
 * Computes an offset into the list of seats, so that entries start with different seats.
 *
 * @param node - name of the entry's backend server
 * @returns the sum of its code points, which differs between numbered names
 */
export function seatOffset(node: BackendServerName): number {
  return [...node].reduce((sum, character) => sum + (character.codePointAt(0) ?? 0), 0);
}
