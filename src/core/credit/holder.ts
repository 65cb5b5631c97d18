import { Map } from 'immutable';
import type { Configuration } from '../model/configuration.js';
import type { AccountName, BackendServerName, Incarnation, ZoneName } from '../model/names.js';
import type { Draw } from '../model/peer-message.js';
import type { Instant } from '../model/time.js';
import { assertPromise, type Violation } from '../promises/violation.js';
import { step, type Decision, type Step } from '../task/decision.js';
import {
  advanceBucket,
  emptyBucket,
  limitLeases,
  limitOf,
  pruneDrawers,
  reshareBucket,
  settleGrant,
  takeTokens,
  type Bucket,
} from './bucket.js';
import type { HolderEffect, HolderMessage } from './credit-message.js';
import { splitOverSeats } from './seat-split.js';
import {
  acceptLease,
  configurePools,
  NO_LEASES,
  hasWholePool,
  leaseShares,
  notePoolDraw,
  notePredecessor,
  requestLeases,
  type Shares,
} from './share-leases.js';

/** Interval in which the task sends `tick`. */
export const HOLDER_TICK_MS = 100;

/**
 * Longer than the isolation limit, a lease and a grant's lifetime together (5707 ms), so that
 * a lost predecessor and whoever uses its share have stopped.
 */
export const HOLDER_WAIT_MS = 6000;

/**
 * A configuration reaches every node within 3 s, and a node cut off before that stops granting
 * within the isolation limit; only then is a part that moved to another seat surely free.
 */
export const SHARE_WAIT_MS = 9000;

/** A holder without news from outside its zone for this time may have a successor. */
export const HOLDER_ISOLATION_MS = 5000;

/** A process that was stopped for longer may have missed its successor. */
export const HOLDER_LATE_MS = 1000;

/** A waiting holder is filled by nobody; a superseded one never grants again. */
type Phase =
  | { readonly kind: 'waiting'; readonly since: Instant }
  | { readonly kind: 'granting' }
  | { readonly kind: 'superseded' };

/** State of the holder of one seat. */
export interface Holder extends Shares {
  readonly seat: BackendServerName;
  readonly zone: ZoneName;
  readonly incarnation: Incarnation;
  readonly phase: Phase;
  readonly configuration: Configuration | null;
  /** Last sign of life from outside the zone. */
  readonly outsideAt: Instant;
  readonly zonesHeard: Map<ZoneName, Instant>;
  readonly steppedAt: Instant;
}

/** Identity of a holder. */
export interface HolderOptions {
  readonly seat: BackendServerName;
  readonly zone: ZoneName;
  readonly incarnation: Incarnation;
  readonly now: Instant;
}

/**
 * Makes the state of a starting holder. It waits also when the fleet starts for the first time:
 * without disks and without a shared store it cannot tell a first start from a replacement
 * whose predecessor granted a moment ago.
 *
 * @param options - seat, zone, incarnation and the present instant
 * @returns the state
 */
export function initialHolder({ seat, zone, incarnation, now }: HolderOptions): Holder {
  return {
    seat,
    zone,
    incarnation,
    phase: { kind: 'waiting', since: now },
    configuration: null,
    buckets: Map(),
    book: NO_LEASES,
    outsideAt: now,
    zonesHeard: Map(),
    steppedAt: now,
  };
}

function restart(holder: Holder, now: Instant): Holder {
  if (holder.phase.kind === 'superseded') return holder;
  const buckets = holder.buckets.map((bucket) => ({
    ...advanceBucket(bucket, now),
    free: 0,
    leases: Map<BackendServerName, never>(),
  }));
  const book = { ...holder.book, requests: NO_LEASES.requests };
  return { ...holder, phase: { kind: 'waiting', since: now }, zonesHeard: Map(), buckets, book };
}

function hasWaited(holder: Holder, now: Instant): boolean {
  const { phase, configuration } = holder;
  if (phase.kind !== 'waiting' || configuration === null) return false;
  const isHeard = configuration.zones
    .filter(({ name, state }) => state === 'in' && name !== holder.zone)
    .every(({ name }) => holder.zonesHeard.has(name));
  return isHeard && now - phase.since >= HOLDER_WAIT_MS;
}

function open(holder: Holder, now: Instant): Holder {
  const buckets = holder.buckets.map((bucket) => {
    const opensAt = Math.max(bucket.opensAt, now);
    return { ...bucket, free: 0, opensAt, filledAt: opensAt };
  });
  return { ...holder, phase: { kind: 'granting' }, buckets };
}

/** Judges pauses and isolation in every step, since a draw may be read before the late timer. */
function checkPhase(holder: Holder, now: Instant): Holder {
  const isLate = now - holder.steppedAt > HOLDER_LATE_MS + HOLDER_TICK_MS;
  const isIsolated = now - holder.outsideAt > HOLDER_ISOLATION_MS;
  const stepped = { ...holder, steppedAt: now };
  if (isLate || isIsolated) return restart(stepped, now);
  return hasWaited(stepped, now) ? open(stepped, now) : stepped;
}

function configure(holder: Holder, configuration: Configuration, now: Instant): Holder {
  const known = holder.configuration;
  if (known !== null && known.revision >= configuration.revision) return holder;
  const opensAt = now + (known === null ? HOLDER_WAIT_MS : SHARE_WAIT_MS);
  const shares = configuration.accounts.flatMap((account) =>
    splitOverSeats(account, configuration.seats)
      .filter(({ seat }) => seat === holder.seat)
      .map((share) => [account.name, share] as const),
  );
  const { accounts, seats } = configuration;
  const book = configurePools(holder.book, accounts, seats, holder.seat, now);
  const buckets = Map(
    shares.map(([account, share]) => {
      const bucket = holder.buckets.get(account);
      if (bucket === undefined) return [account, emptyBucket(share, opensAt)] as const;
      const reshared = reshareBucket(advanceBucket(bucket, now), share, opensAt);
      return [account, limitLeases(reshared, book.pools.get(account)?.later ?? [])] as const;
    }),
  );
  return { ...holder, configuration, buckets, book };
}

function hear(holder: Holder, zone: ZoneName, now: Instant): Holder {
  const isSingle = (holder.configuration?.zones.length ?? 0) === 1;
  const outsideAt = zone !== holder.zone || isSingle ? now : holder.outsideAt;
  return { ...holder, outsideAt, zonesHeard: holder.zonesHeard.set(zone, now) };
}

function refusal(peer: BackendServerName, draw: Draw, retryAfterMs: number): HolderEffect {
  const { drawId, account } = draw;
  return {
    kind: 'grant',
    peer,
    grant: { kind: 'grant', drawId, account, tokens: 0, retryAfterMs, isFinal: false },
  };
}

/** Asserted on the advanced bucket; grants made before a lowered burst may exceed it alone. */
function assertBucket(account: AccountName, bucket: Bucket): readonly Violation[] {
  const { free, outstanding } = bucket;
  const { burst } = limitOf(bucket);
  const holds =
    free >= -1e-6 && outstanding >= 0 && (free === 0 || free + outstanding <= burst + 1e-6);
  return assertPromise(
    'rate-bound',
    holds,
    () => `${account}: free ${free} and outstanding ${outstanding} exceed the burst share ${burst}`,
  );
}

function answerDraw(
  holder: Holder,
  peer: BackendServerName,
  draw: Draw,
  now: Instant,
): Step<Holder, HolderEffect> {
  const { phase, buckets } = holder;
  const bucket = buckets.get(draw.account);
  if (phase.kind === 'superseded' || bucket === undefined) {
    return step(holder, refusal(peer, draw, HOLDER_WAIT_MS));
  }
  const opensAt = phase.kind === 'waiting' ? phase.since + HOLDER_WAIT_MS : bucket.opensAt;
  if (phase.kind === 'waiting' || opensAt > now) {
    return step(holder, refusal(peer, draw, Math.max(HOLDER_TICK_MS, opensAt - now)));
  }
  const { drawId, account } = draw;
  const taken = takeTokens(advanceBucket(bucket, now), peer, draw, now);
  const { tokens, retryAfterMs } = taken;
  const isFinal = hasWholePool(holder.book, account, taken.bucket);
  const book = notePoolDraw(holder.book, account, now);
  return step<Holder, HolderEffect>(
    { ...holder, buckets: buckets.set(account, taken.bucket), book },
    {
      kind: 'grant',
      peer,
      grant: { kind: 'grant', drawId, account, tokens, retryAfterMs, isFinal },
    },
    ...assertBucket(account, taken.bucket),
  );
}

function settle(
  holder: Holder,
  message: Extract<HolderMessage, { kind: 'settled' }>,
  now: Instant,
): Step<Holder, HolderEffect> {
  const { peer, settlement } = message;
  const bucket = holder.buckets.get(settlement.account);
  if (bucket === undefined) return step(holder);
  const next = settleGrant(
    advanceBucket(bucket, now),
    peer,
    settlement.drawId,
    settlement.returned,
  );
  return step(
    { ...holder, buckets: holder.buckets.set(settlement.account, next) },
    ...assertBucket(settlement.account, next),
  );
}

function withShares(
  holder: Holder,
  { state: { buckets, book }, effects }: Step<Shares, HolderEffect>,
): Step<Holder, HolderEffect> {
  return { state: { ...holder, buckets, book }, effects };
}

function maintain(holder: Holder, now: Instant): Step<Holder, HolderEffect> {
  const buckets = holder.buckets.map((bucket) => pruneDrawers(advanceBucket(bucket, now), now));
  const advanced = { ...holder, buckets };
  return holder.phase.kind === 'granting'
    ? withShares(advanced, requestLeases(advanced, holder.incarnation, now))
    : step(advanced);
}

function grantLeases(
  holder: Holder,
  message: Extract<HolderMessage, { kind: 'lease-requested' }>,
  now: Instant,
): Step<Holder, HolderEffect> {
  const { peer, request } = message;
  const noted = { ...holder, book: notePredecessor(holder.book, request.accounts, now) };
  if (holder.phase.kind !== 'granting') return step(noted);
  return withShares(noted, leaseShares(noted, peer, request, now));
}

function takeLease(
  holder: Holder,
  { seat, lease }: Extract<HolderMessage, { kind: 'leased' }>,
  now: Instant,
): Step<Holder, HolderEffect> {
  const isMine = lease.incarnation === holder.incarnation;
  if (holder.phase.kind !== 'granting' || !isMine) return step(holder);
  return withShares(holder, step(acceptLease(holder, seat, lease, now)));
}

/**
 * Decides for the holder of a seat.
 *
 * @param state - the holder
 * @param message - what happened
 * @param now - the present instant of the node's monotonic clock
 * @returns the next state and the grants to send
 */
export const decideHolder: Decision<Holder, HolderMessage, HolderEffect> = (
  state,
  message,
  now,
) => {
  const holder = checkPhase(state, now);
  switch (message.kind) {
    case 'configured':
      return step(configure(holder, message.configuration, now));
    case 'draw':
      return answerDraw(holder, message.peer, message.draw, now);
    case 'settled':
      return settle(holder, message, now);
    case 'lease-requested':
      return grantLeases(holder, message, now);
    case 'leased':
      return takeLease(holder, message, now);
    case 'service-heard':
      return step({ ...holder, outsideAt: now });
    case 'zone-heard':
      return step(hear(holder, message.zone, now));
    case 'incarnation-heard':
      return step(
        message.incarnation > holder.incarnation
          ? { ...holder, phase: { kind: 'superseded' } }
          : holder,
      );
    case 'woke-late':
      return step(message.lateMs > HOLDER_LATE_MS ? restart(holder, now) : holder);
    case 'tick':
      return maintain(holder, now);
  }
};
