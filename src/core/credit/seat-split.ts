import type { Account } from '../model/configuration.js';
import type { BackendServerName } from '../model/names.js';
import { rankByRendezvous } from '../routing/rendezvous.js';

/** More seats would lose less of an account with one host, but ask more seats before a refusal. */
const MAX_SEATS = 5;

/** The part of an account's rate and burst that one seat holds. */
export interface SeatShare {
  readonly seat: BackendServerName;
  readonly ratePerSecond: number;
  /** Whole tokens. */
  readonly burst: number;
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
