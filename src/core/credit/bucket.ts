import { Map, OrderedMap } from 'immutable';
import type { BackendServerName } from '../model/names.js';
import type { Draw, LeasedShare } from '../model/peer-message.js';
import type { Instant, Milliseconds } from '../model/time.js';
import type { SeatShare } from './seat-split.js';

/** Lifetime of a grant, counted from the instant at which the entry sent its draw. */
export const GRANT_LIFETIME_MS = 200;

/** Lifetime as measured by the quota server; 1% longer, because clock rates differ slightly. */
export const GRANT_EXPIRY_MS = 202;

/** An entry counts as active for this time after its last draw. */
const ACTIVE_ENTRY_MS = 1000;

/**
 * Fraction of the burst that prefetching draws leave to waiting requests. In the in-memory fleet,
 * 17 unevenly loaded entries of an account with rate 200 and burst 100 had a token at hand for
 * 82% to 84% of their requests with a quarter, and for 69% with a half.
 */
const PREFETCH_RESERVE_RATIO = 0.25;

interface OutstandingGrant {
  readonly tokens: number;
  readonly until: Instant;
}

/** A lease of this seat's share to another quota server. */
interface OutgoingLease {
  readonly lessee: string;
  readonly burst: number;
  /** End of the lease; the bucket is not refilled before it. */
  readonly until: Instant;
}

/** A lease of another seat's share to this quota server. */
interface IncomingLease {
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly until: Instant;
}

/**
 * Token bucket of one account at one seat. A seat is one of the nodes that hold the tokens of
 * client accounts; each seat holds a share of an account's rate and burst.
 */
export interface Bucket {
  /** Rate and burst of this seat's share without leases, unlike `effectiveLimit`. */
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly outgoingLease: OutgoingLease | null;
  readonly incomingLeases: Map<BackendServerName, IncomingLease>;
  /** A larger share that takes effect at a later instant. */
  readonly pendingIncrease: { readonly at: Instant; readonly share: SeatShare } | null;
  /** Instant at which refilling starts. */
  readonly refillStartAt: Instant;
  readonly free: number;
  readonly refilledAt: Instant;
  readonly outstanding: number;
  /** Outstanding grants by entry and draw identifier, oldest first. */
  readonly grants: OrderedMap<string, OutstandingGrant>;
  /** Instant of each entry's last draw. */
  readonly activeEntries: Map<BackendServerName, Instant>;
}

/**
 * Creates an empty bucket.
 *
 * @param share - the seat's share
 * @param refillStartAt - instant at which refilling starts
 * @returns the bucket
 */
export function emptyBucket(share: SeatShare, refillStartAt: Instant): Bucket {
  return {
    ratePerSecond: share.ratePerSecond,
    burst: share.burst,
    outgoingLease: null,
    incomingLeases: Map(),
    pendingIncrease: null,
    refillStartAt,
    free: 0,
    refilledAt: refillStartAt,
    outstanding: 0,
    grants: OrderedMap(),
    activeEntries: Map(),
  };
}

/**
 * Returns the rate and burst in force. While the share is leased out, its refill and its burst
 * belong to the lessee; tokens that were outstanding at that time stay with this bucket.
 *
 * @param bucket - the bucket
 * @returns rate and burst including leases in both directions
 */
export function effectiveLimit(bucket: Bucket): Pick<Bucket, 'ratePerSecond' | 'burst'> {
  const { outgoingLease, incomingLeases } = bucket;
  return incomingLeases.reduce(
    (sum, lease) => ({
      ratePerSecond: sum.ratePerSecond + lease.ratePerSecond,
      burst: sum.burst + lease.burst,
    }),
    {
      ratePerSecond: outgoingLease === null ? bucket.ratePerSecond : 0,
      // A share that was lowered during its lease must not give a negative burst.
      burst: Math.max(0, bucket.burst - (outgoingLease?.burst ?? 0)),
    },
  );
}

/** Limits the free tokens to the part of the burst that is not outstanding. */
function capFree(free: number, bucket: Bucket): number {
  return Math.max(0, Math.min(free, effectiveLimit(bucket).burst - bucket.outstanding));
}

function refillBucket(bucket: Bucket, now: Instant): Bucket {
  if (now <= bucket.refilledAt) return bucket;
  const gained = ((now - bucket.refilledAt) * effectiveLimit(bucket).ratePerSecond) / 1000;
  return { ...bucket, refilledAt: now, free: capFree(bucket.free + gained, bucket) };
}

function removeGrant(bucket: Bucket, key: string, tokens: number): Bucket {
  const outstanding = bucket.outstanding - tokens;
  return { ...bucket, outstanding, grants: bucket.grants.delete(key) };
}

function expireGrants(bucket: Bucket, now: Instant): Bucket {
  let next = bucket;
  for (const [key, { tokens, until }] of bucket.grants) {
    if (until > now) break;
    // Refilling up to the instant of expiry first keeps the cap on free tokens exact.
    next = removeGrant(refillBucket(next, until), key, tokens);
  }
  return next;
}

/** Applies pending increases and ends of leases in order, each at its own instant. */
function applyDueChanges(bucket: Bucket, now: Instant): Bucket {
  const { pendingIncrease, outgoingLease, incomingLeases } = bucket;
  const at = Math.min(
    pendingIncrease?.at ?? Infinity,
    outgoingLease?.until ?? Infinity,
    ...incomingLeases.valueSeq().map(({ until }) => until),
  );
  if (at > now) return bucket;
  const refilled = refillBucket(expireGrants(bucket, at), at);
  const increased =
    pendingIncrease === null || pendingIncrease.at > at
      ? refilled
      : {
          ...refilled,
          ratePerSecond: pendingIncrease.share.ratePerSecond,
          burst: pendingIncrease.share.burst,
          pendingIncrease: null,
        };
  const next = {
    ...increased,
    outgoingLease: outgoingLease === null || outgoingLease.until <= at ? null : outgoingLease,
    incomingLeases: incomingLeases.filter(({ until }) => until > at),
  };
  return applyDueChanges({ ...next, free: capFree(next.free, next) }, now);
}

/**
 * Advances a bucket to an instant: expires grants and leases, applies a due increase and refills.
 *
 * @param bucket - the bucket
 * @param now - the instant
 * @returns the advanced bucket
 */
export function advanceBucket(bucket: Bucket, now: Instant): Bucket {
  return refillBucket(expireGrants(applyDueChanges(bucket, now), now), now);
}

/**
 * Removes entries without a recent draw. It runs on a timer, so that the cost of a draw does not
 * grow with the number of entries.
 *
 * @param bucket - the bucket
 * @param now - the instant
 * @returns the bucket with active entries only
 */
export function pruneInactiveEntries(bucket: Bucket, now: Instant): Bucket {
  return {
    ...bucket,
    activeEntries: bucket.activeEntries.filter((at) => at > now - ACTIVE_ENTRY_MS),
  };
}

/**
 * Changes the share. A decrease takes effect at once. An increase is delayed, because the added
 * part may come from a seat that has not applied the new configuration yet.
 *
 * @param bucket - the bucket, advanced to now
 * @param share - the new share
 * @param increaseAt - instant at which an increase takes effect
 * @returns the bucket under the new share
 */
export function changeShare(bucket: Bucket, share: SeatShare, increaseAt: Instant): Bucket {
  const ratePerSecond = Math.min(bucket.ratePerSecond, share.ratePerSecond);
  const burst = Math.min(bucket.burst, share.burst);
  const isIncrease = ratePerSecond < share.ratePerSecond || burst < share.burst;
  const isAlreadyPending =
    bucket.pendingIncrease !== null &&
    bucket.pendingIncrease.share.ratePerSecond === share.ratePerSecond &&
    bucket.pendingIncrease.share.burst === share.burst;
  const pendingIncrease = isAlreadyPending ? bucket.pendingIncrease : { at: increaseAt, share };
  const next = {
    ...bucket,
    ratePerSecond,
    burst,
    pendingIncrease: isIncrease ? pendingIncrease : null,
  };
  return { ...next, free: capFree(bucket.free, next) };
}

/**
 * Leases out the whole share with its free tokens. The burst of outstanding tokens follows with a
 * later renewal.
 *
 * @param bucket - the bucket, advanced to now
 * @param lessee - name and incarnation of the quota server that takes the lease
 * @param now - the present instant
 * @param until - end of the lease
 * @returns the bucket and the leased share, or null when the share is in use
 */
export function leaseShare(
  bucket: Bucket,
  lessee: string,
  now: Instant,
  until: Instant,
): { readonly bucket: Bucket; readonly share: Omit<LeasedShare, 'account'> } | null {
  const { outgoingLease, incomingLeases, refillStartAt, ratePerSecond, outstanding } = bucket;
  const isTaken = outgoingLease !== null && outgoingLease.lessee !== lessee;
  if (isTaken || !incomingLeases.isEmpty() || refillStartAt > now) return null;
  const burst = Math.max(0, bucket.burst - outstanding);
  const tokens = Math.min(bucket.free, burst);
  return {
    bucket: { ...bucket, free: 0, outgoingLease: { lessee, burst, until } },
    share: { ratePerSecond, burst, tokens },
  };
}

/**
 * Adds the leased share of another seat and replaces an earlier lease of the same seat.
 *
 * @param bucket - the bucket, advanced to now
 * @param known - the other seat's share under the configuration in force here
 * @param leasedShare - the share as stated in the lease
 * @param until - end of the lease
 * @returns the bucket with the lease
 */
export function addLeasedShare(
  bucket: Bucket,
  known: SeatShare,
  leasedShare: Omit<LeasedShare, 'account'>,
  until: Instant,
): Bucket {
  const lease = {
    ratePerSecond: Math.min(known.ratePerSecond, leasedShare.ratePerSecond),
    burst: Math.min(known.burst, leasedShare.burst),
    until,
  };
  const next = { ...bucket, incomingLeases: bucket.incomingLeases.set(known.seat, lease) };
  return { ...next, free: capFree(bucket.free + leasedShare.tokens, next) };
}

/**
 * Caps incoming leases at the shares of a new configuration and drops those of other seats.
 *
 * @param bucket - the bucket, advanced to now
 * @param lessors - shares of the seats that lease to this one
 * @returns the bucket with capped leases
 */
export function capLeases(bucket: Bucket, lessors: readonly SeatShare[]): Bucket {
  const incomingLeases = bucket.incomingLeases.flatMap((lease, seat) => {
    const known = lessors.find((share) => share.seat === seat);
    if (known === undefined) return [];
    const ratePerSecond = Math.min(known.ratePerSecond, lease.ratePerSecond);
    return [[seat, { ...lease, ratePerSecond, burst: Math.min(known.burst, lease.burst) }]];
  });
  const next = { ...bucket, incomingLeases };
  return { ...next, free: capFree(bucket.free, next) };
}

function grantableTokens(bucket: Bucket, draw: Draw): number {
  const { free, activeEntries } = bucket;
  const { burst } = effectiveLimit(bucket);
  const spare = Math.max(0, Math.floor(free - burst * PREFETCH_RESERVE_RATIO));
  if (draw.isAhead) return Math.min(draw.want, spare);
  // Tokens above the prefetch reserve go to any draw; the rest is divided among active entries.
  const part = Math.max(1, Math.floor(free / activeEntries.size), spare);
  return Math.min(draw.want, part, Math.floor(free));
}

/**
 * Takes tokens for a draw. A repeated draw is debited again: the quota server cannot distinguish it
 * from the first draw of a restarted entry, and the entry uses only one of the grants.
 *
 * @param advanced - the bucket, advanced to now
 * @param peer - the entry that sent the draw
 * @param draw - the draw
 * @param now - the instant
 * @returns the bucket, the granted tokens and, without any, the time until the next whole token
 */
export function grantTokens(
  advanced: Bucket,
  peer: BackendServerName,
  draw: Draw,
  now: Instant,
): { readonly bucket: Bucket; readonly tokens: number; readonly retryAfterMs: Milliseconds } {
  const bucket = { ...advanced, activeEntries: advanced.activeEntries.set(peer, now) };
  const tokens = Math.max(0, grantableTokens(bucket, draw));
  if (tokens === 0) {
    const missing = Math.max(0, 1 - bucket.free);
    const { ratePerSecond } = effectiveLimit(bucket);
    const fallbackMs =
      bucket.outgoingLease === null ? ACTIVE_ENTRY_MS : bucket.outgoingLease.until - now;
    const waitMs = ratePerSecond > 0 ? (missing * 1000) / ratePerSecond : fallbackMs;
    return { bucket, tokens, retryAfterMs: Math.max(1, Math.ceil(waitMs)) };
  }
  const key = `${peer}/${draw.drawId}`;
  const previousTokens = bucket.grants.get(key)?.tokens ?? 0;
  return {
    bucket: {
      ...bucket,
      free: bucket.free - tokens,
      outstanding: bucket.outstanding + tokens,
      grants: bucket.grants
        .delete(key)
        .set(key, { tokens: tokens + previousTokens, until: now + GRANT_EXPIRY_MS }),
    },
    tokens,
    retryAfterMs: 0,
  };
}

/**
 * Ends a grant before its lifetime is over. A repeated settlement has no effect.
 *
 * @param bucket - the bucket, advanced to now
 * @param peer - the entry that sent the settlement
 * @param drawId - identifier of the grant's draw
 * @param returned - unspent tokens, which the entry gives up
 * @returns the bucket with the returned tokens
 */
export function settleGrant(
  bucket: Bucket,
  peer: BackendServerName,
  drawId: number,
  returned: number,
): Bucket {
  const key = `${peer}/${drawId}`;
  const grant = bucket.grants.get(key);
  if (grant === undefined) return bucket;
  const next = removeGrant(bucket, key, grant.tokens);
  const returnedTokens = Math.max(0, Math.min(returned, grant.tokens));
  return { ...next, free: capFree(bucket.free + returnedTokens, next) };
}
