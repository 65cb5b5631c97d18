import { Map } from 'immutable';
import type { Account } from '../model/configuration.js';
import type { AccountName, BackendServerName, Incarnation } from '../model/names.js';
import type { LeasedShare, Lease, LeaseRequest } from '../model/peer-message.js';
import type { Instant } from '../model/time.js';
import { step, type Step } from '../task/decision.js';
import {
  advanceBucket,
  addLeasedShare,
  leaseShare,
  GRANT_EXPIRY_MS,
  type Bucket,
} from './bucket.js';
import type { QuotaServerEffect } from './credit-message.js';
import { isPooled, splitOverSeats, type SeatShare } from './seat-split.js';

/**
 * Time in which a lessee may use a share, counted from the sending of its request. A lease, the
 * grants made from it and `HOLDER_ISOLATION_MS` together end before `HOLDER_WAIT_MS`, so that the
 * lease of a lost holder is over when its successor grants.
 */
export const LEASE_LIFETIME_MS = 500;

/** A little less than two ticks of the holder; one lost renewal does not end a lease. */
const LEASE_RENEWAL_MS = 150;

/** 1% for clocks that run at different speeds, and the lifetime of grants from a leased share. */
const OUTGOING_LEASE_MS = LEASE_LIFETIME_MS * 1.01 + GRANT_EXPIRY_MS;

/** A seat takes the place of earlier ones after this time without a request from any of them. */
const PREDECESSOR_TIMEOUT_MS = 2000;

/** An account without draws for this time leases nothing, so that idle accounts cost nothing. */
const POOL_IDLE_MS = 60_000;

/** Place of this seat among the seats of one account with a small burst. */
interface Pool {
  readonly isFirst: boolean;
  /** Shares of the seats after this one, from which it leases. */
  readonly lessors: readonly SeatShare[];
  readonly lastDrawAt: Instant;
  /** Last instant at which an earlier seat was known to be up. */
  readonly predecessorSeenAt: Instant;
}

/** What a holder keeps of its leases besides its buckets. */
export interface LeaseTable {
  readonly pools: Map<AccountName, Pool>;
  /** Requests by identifier that may still be answered in time. */
  readonly requests: Map<
    number,
    { readonly seat: BackendServerName; readonly sentAt: Instant; readonly leaseId: number }
  >;
  readonly lastLeaseId: number;
  readonly nextRenewalAt: Instant;
}

/** Buckets and leases of a holder. */
export interface LeaseState {
  readonly buckets: Map<AccountName, Bucket>;
  readonly leaseTable: LeaseTable;
}

/** A book without pools and requests. */
export const EMPTY_LEASE_TABLE: LeaseTable = {
  pools: Map(),
  requests: Map(),
  lastLeaseId: 0,
  nextRenewalAt: 0,
};

/**
 * Finds the place of a seat in the pools of the accounts.
 *
 * @param leaseTable - the book so far
 * @param accounts - accounts of the configuration
 * @param seats - all seats of the configuration
 * @param ownSeat - the seat
 * @param now - the present instant
 * @returns the book with pools for the accounts with a small burst
 */
export function configurePools(
  leaseTable: LeaseTable,
  accounts: readonly Account[],
  seats: readonly BackendServerName[],
  ownSeat: BackendServerName,
  now: Instant,
): LeaseTable {
  const pools = accounts.filter(isPooled).flatMap((account) => {
    const shares = splitOverSeats(account, seats);
    const place = shares.findIndex(({ seat }) => seat === ownSeat);
    if (place < 0 || shares.length === 1) return [];
    const { lastDrawAt, predecessorSeenAt } = leaseTable.pools.get(account.name) ?? {
      lastDrawAt: now - POOL_IDLE_MS,
      predecessorSeenAt: now,
    };
    const pool = {
      isFirst: place === 0,
      lessors: shares.slice(place + 1),
      lastDrawAt,
      predecessorSeenAt,
    };
    return [[account.name, pool] as const];
  });
  return { ...leaseTable, pools: Map(pools) };
}

/**
 * Notes a draw, which keeps the leases of its account alive.
 *
 * @param leaseTable - the book
 * @param account - the account
 * @param now - the present instant
 * @returns the book
 */
export function recordPoolDraw(
  leaseTable: LeaseTable,
  account: AccountName,
  now: Instant,
): LeaseTable {
  const pool = leaseTable.pools.get(account);
  if (pool === undefined) return leaseTable;
  const isIdle = now - pool.lastDrawAt >= POOL_IDLE_MS;
  // After an idle time the absence of requests tells nothing about the earlier seats.
  const predecessorSeenAt = isIdle ? now : pool.predecessorSeenAt;
  return {
    ...leaseTable,
    pools: leaseTable.pools.set(account, { ...pool, lastDrawAt: now, predecessorSeenAt }),
  };
}

/**
 * Notes that an earlier seat is up, since only earlier seats ask for leases.
 *
 * @param leaseTable - the book
 * @param accounts - accounts for which the seat asked
 * @param now - the present instant
 * @returns the book
 */
export function recordPredecessor(
  leaseTable: LeaseTable,
  accounts: readonly AccountName[],
  now: Instant,
): LeaseTable {
  const pools = accounts.reduce((next, account) => {
    const pool = next.get(account);
    return pool === undefined ? next : next.set(account, { ...pool, predecessorSeenAt: now });
  }, leaseTable.pools);
  return { ...leaseTable, pools };
}

/**
 * Tells whether this seat has the shares of all later seats.
 *
 * @param leaseTable - the book
 * @param account - the account
 * @param bucket - its bucket, advanced to now
 * @returns true when another seat is not worth asking
 */
export function hasWholePool(
  leaseTable: LeaseTable,
  account: AccountName,
  bucket: Bucket,
): boolean {
  const pool = leaseTable.pools.get(account);
  return pool !== undefined && pool.lessors.every(({ seat }) => bucket.incomingLeases.has(seat));
}

function isLeasing(pool: Pool, bucket: Bucket | undefined, now: Instant): boolean {
  if (bucket === undefined || bucket.refillStartAt > now || bucket.outgoingLease !== null)
    return false;
  const isHead = pool.isFirst || now - pool.predecessorSeenAt >= PREDECESSOR_TIMEOUT_MS;
  return isHead && now - pool.lastDrawAt < POOL_IDLE_MS;
}

/**
 * Asks for leases and renewals, one message for each lessor.
 *
 * @param state - buckets and book
 * @param incarnation - this run of the holder
 * @param now - the present instant
 * @returns the shares and the requests
 */
export function requestLeases(
  state: LeaseState,
  incarnation: Incarnation,
  now: Instant,
): Step<LeaseState, QuotaServerEffect> {
  const { buckets, leaseTable } = state;
  if (now < leaseTable.nextRenewalAt) return step(state);
  const wanted = leaseTable.pools
    .toSeq()
    .filter((pool, account) => isLeasing(pool, buckets.get(account), now))
    .entrySeq()
    .flatMap(([account, { lessors }]) => lessors.map(({ seat }) => ({ account, seat })))
    .groupBy(({ seat }) => seat)
    .entrySeq()
    .map(([seat, entries], place) => ({
      seat,
      leaseId: leaseTable.lastLeaseId + place + 1,
      accounts: entries.map(({ account }) => account).toArray(),
    }))
    .toArray();
  const requests = leaseTable.requests
    .filter(({ sentAt }) => now - sentAt < LEASE_LIFETIME_MS)
    .merge(wanted.map(({ seat, leaseId }) => [leaseId, { seat, sentAt: now, leaseId }] as const));
  const lastLeaseId = leaseTable.lastLeaseId + wanted.length;
  return step<LeaseState, QuotaServerEffect>(
    {
      buckets,
      leaseTable: { ...leaseTable, requests, lastLeaseId, nextRenewalAt: now + LEASE_RENEWAL_MS },
    },
    ...wanted.map(({ seat, leaseId, accounts }) => ({
      kind: 'send-lease-request' as const,
      seat,
      request: { kind: 'lease-request' as const, leaseId, incarnation, accounts },
    })),
  );
}

/**
 * Leases shares to an earlier seat. A seat leases to one run of one holder at a time, whoever asks,
 * so hosts that disagree about the seats cannot use a share twice.
 *
 * @param state - buckets and book
 * @param peer - the node of the lessee
 * @param request - its request
 * @param now - the present instant
 * @returns the shares after the debit, and the lease
 */
export function leaseShares(
  state: LeaseState,
  peer: BackendServerName,
  request: LeaseRequest,
  now: Instant,
): Step<LeaseState, QuotaServerEffect> {
  const { leaseId, incarnation, accounts } = request;
  const lessee = `${peer}/${incarnation}`;
  const leasedShares: LeasedShare[] = [];
  let { buckets } = state;
  accounts.forEach((account) => {
    const bucket = buckets.get(account);
    const given =
      bucket === undefined
        ? null
        : leaseShare(advanceBucket(bucket, now), lessee, now, now + OUTGOING_LEASE_MS);
    if (given === null) return;
    buckets = buckets.set(account, given.bucket);
    leasedShares.push({ account, ...given.share });
  });
  if (leasedShares.length === 0) return step<LeaseState, QuotaServerEffect>(state);
  const lease: Lease = { kind: 'lease', leaseId, incarnation, shares: leasedShares };
  return step<LeaseState, QuotaServerEffect>(
    { ...state, buckets },
    { kind: 'send-lease', peer, lease },
  );
}

/**
 * Takes a lease into use. A repeated or overtaken reply has no request any more.
 *
 * @param state - buckets and book
 * @param seat - the lessor
 * @param lease - its reply
 * @param now - the present instant
 * @returns the shares
 */
export function acceptLease(
  state: LeaseState,
  seat: BackendServerName,
  lease: Lease,
  now: Instant,
): LeaseState {
  const { leaseTable } = state;
  const request = leaseTable.requests.get(lease.leaseId);
  if (request === undefined || request.seat !== seat) return state;
  const until = request.sentAt + LEASE_LIFETIME_MS;
  const requests = leaseTable.requests.filter(
    (other) => other.seat !== seat || other.leaseId > lease.leaseId,
  );
  const used = { ...state, leaseTable: { ...leaseTable, requests } };
  if (until <= now) return used;
  return lease.shares.reduce((next, leasedShare) => {
    const bucket = next.buckets.get(leasedShare.account);
    const known = leaseTable.pools
      .get(leasedShare.account)
      ?.lessors.find((share) => share.seat === seat);
    // A share that moved is not used twice while a configuration spreads.
    if (bucket === undefined || known === undefined) return next;
    const extended = addLeasedShare(advanceBucket(bucket, now), known, leasedShare, until);
    return { ...next, buckets: next.buckets.set(leasedShare.account, extended) };
  }, used);
}
