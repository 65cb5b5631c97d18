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
 * grants made from it and `ISOLATION_LIMIT_MS` together are shorter than `TAKEOVER_WAIT_MS`, so
 * that the leases of an unreachable quota server have ended when its successor starts to grant.
 */
export const LEASE_LIFETIME_MS = 500;

/** Slightly less than two ticks of the quota server; one lost renewal does not end a lease. */
const LEASE_RENEWAL_MS = 150;

/** Lease lifetime plus 1% for differing clock rates, plus the lifetime of the lessee's grants. */
const OUTGOING_LEASE_MS = LEASE_LIFETIME_MS * 1.01 + GRANT_EXPIRY_MS;

/** A seat takes over the pool when no earlier seat has sent a request for this time. */
const PREDECESSOR_TIMEOUT_MS = 2000;

/** No leases are requested for an account without draws for this time, to save messages. */
const POOL_IDLE_MS = 60_000;

/** Position of this seat among the seats of one account with a small burst. */
interface Pool {
  readonly isFirst: boolean;
  /** Shares of the seats after this one, which lease to it. */
  readonly lessors: readonly SeatShare[];
  readonly lastDrawAt: Instant;
  /** Instant of the last request from an earlier seat. */
  readonly predecessorSeenAt: Instant;
}

/** Pools and open lease requests of a quota server. */
export interface LeaseTable {
  readonly pools: Map<AccountName, Pool>;
  /** Requests by identifier whose lease would not have expired yet. */
  readonly requests: Map<
    number,
    { readonly seat: BackendServerName; readonly sentAt: Instant; readonly leaseId: number }
  >;
  readonly lastLeaseId: number;
  readonly nextRenewalAt: Instant;
}

/** Buckets and leases of a quota server. */
export interface LeaseState {
  readonly buckets: Map<AccountName, Bucket>;
  readonly leaseTable: LeaseTable;
}

/** A table without pools and requests. */
export const EMPTY_LEASE_TABLE: LeaseTable = {
  pools: Map(),
  requests: Map(),
  lastLeaseId: 0,
  nextRenewalAt: 0,
};

/**
 * Finds the position of a seat in the pools of the accounts.
 *
 * @param leaseTable - the present table
 * @param accounts - accounts of the configuration
 * @param seats - all seats of the configuration
 * @param ownSeat - the seat whose position is wanted
 * @param now - the present instant
 * @returns the table with pools for the accounts with a small burst
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
 * Records a draw. Leases are renewed while their account has draws.
 *
 * @param leaseTable - the lease table
 * @param account - the account
 * @param now - the present instant
 * @returns the updated table
 */
export function recordPoolDraw(
  leaseTable: LeaseTable,
  account: AccountName,
  now: Instant,
): LeaseTable {
  const pool = leaseTable.pools.get(account);
  if (pool === undefined) return leaseTable;
  const isIdle = now - pool.lastDrawAt >= POOL_IDLE_MS;
  // Earlier seats send no requests for an idle account, so their silence does not mean failure.
  const predecessorSeenAt = isIdle ? now : pool.predecessorSeenAt;
  return {
    ...leaseTable,
    pools: leaseTable.pools.set(account, { ...pool, lastDrawAt: now, predecessorSeenAt }),
  };
}

/**
 * Records that an earlier seat is up, since only earlier seats send lease requests.
 *
 * @param leaseTable - the lease table
 * @param accounts - accounts of the request
 * @param now - the present instant
 * @returns the updated table
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
 * Checks whether this seat has leased the shares of all later seats.
 *
 * @param leaseTable - the lease table
 * @param account - the account
 * @param bucket - its bucket, advanced to now
 * @returns true when no other seat can grant more
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
 * Requests leases and renewals, with one message for each lessor.
 *
 * @param state - buckets and leases
 * @param incarnation - incarnation of this quota server
 * @param now - the present instant
 * @returns the next state and the requests to send
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
 * Leases shares to an earlier seat. A share is leased to one incarnation of one quota server at a
 * time, so hosts that disagree about the seats cannot use a share twice.
 *
 * @param state - buckets and leases
 * @param peer - the node of the lessee
 * @param request - its request
 * @param now - the present instant
 * @returns the state after the debit, and the lease to send
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
 * Applies a received lease. A repeated reply, or one overtaken by a newer one, is ignored because
 * its request has been removed.
 *
 * @param state - buckets and leases
 * @param seat - the lessor
 * @param lease - its reply
 * @param now - the present instant
 * @returns the state with the leased shares
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
    // A share that has moved to another seat must not be used twice during a configuration change.
    if (bucket === undefined || known === undefined) return next;
    const extended = addLeasedShare(advanceBucket(bucket, now), known, leasedShare, until);
    return { ...next, buckets: next.buckets.set(leasedShare.account, extended) };
  }, used);
}
