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
  capLeases,
  effectiveLimit,
  pruneInactiveEntries,
  changeShare,
  settleGrant,
  grantTokens,
  type Bucket,
} from './bucket.js';
import type { QuotaServerEffect, QuotaServerMessage } from './credit-message.js';
import { splitOverSeats } from './seat-split.js';
import {
  acceptLease,
  configurePools,
  EMPTY_LEASE_TABLE,
  hasWholePool,
  leaseShares,
  recordPoolDraw,
  recordPredecessor,
  requestLeases,
  type LeaseState,
} from './share-leases.js';

/** Interval of the `tick` message. */
export const QUOTA_SERVER_TICK_MS = 100;

/**
 * Time before a started quota server grants. It exceeds the sum of the isolation limit, a lease and
 * a grant's lifetime (5707 ms), so that an unreachable predecessor and its lessee have stopped.
 */
export const TAKEOVER_WAIT_MS = 6000;

/**
 * Time before an increased share takes effect. A configuration reaches every node within 3 s, and a
 * node that is cut off before that stops granting within the isolation limit; only then has the
 * seat that held the added part surely released it.
 */
export const SHARE_INCREASE_WAIT_MS = 9000;

/** Without contact outside its zone for this time, a quota server may have a successor. */
export const ISOLATION_LIMIT_MS = 5000;

/** A process that was paused for longer may have missed the start of its successor. */
export const PAUSE_LIMIT_MS = 1000;

/** While it waits, a quota server grants nothing; once superseded, it never grants again. */
type Phase =
  | { readonly kind: 'waiting'; readonly since: Instant }
  | { readonly kind: 'granting' }
  | { readonly kind: 'superseded' };

/** State of the quota server of one seat, which grants tokens from the seat's buckets. */
export interface QuotaServer extends LeaseState {
  readonly seat: BackendServerName;
  readonly zone: ZoneName;
  readonly incarnation: Incarnation;
  readonly phase: Phase;
  readonly configuration: Configuration | null;
  /** Last contact with the configuration service or with a node of another zone. */
  readonly lastOutsideContactAt: Instant;
  readonly zoneContacts: Map<ZoneName, Instant>;
  readonly lastStepAt: Instant;
}

/** Identity of a quota server. */
export interface QuotaServerOptions {
  readonly seat: BackendServerName;
  readonly zone: ZoneName;
  readonly incarnation: Incarnation;
  readonly now: Instant;
}

/**
 * Creates the state of a starting quota server. It also waits at the first start of the fleet:
 * without disk or shared store, a first start cannot be distinguished from the replacement of a
 * quota server that granted a moment ago.
 *
 * @param options - seat, zone, incarnation and the present instant
 * @returns the state
 */
export function initialQuotaServer({
  seat,
  zone,
  incarnation,
  now,
}: QuotaServerOptions): QuotaServer {
  return {
    seat,
    zone,
    incarnation,
    phase: { kind: 'waiting', since: now },
    configuration: null,
    buckets: Map(),
    leaseTable: EMPTY_LEASE_TABLE,
    lastOutsideContactAt: now,
    zoneContacts: Map(),
    lastStepAt: now,
  };
}

function restartWait(server: QuotaServer, now: Instant): QuotaServer {
  if (server.phase.kind === 'superseded') return server;
  const buckets = server.buckets.map((bucket) => ({
    ...advanceBucket(bucket, now),
    free: 0,
    incomingLeases: Map<BackendServerName, never>(),
  }));
  const leaseTable = { ...server.leaseTable, requests: EMPTY_LEASE_TABLE.requests };
  return {
    ...server,
    phase: { kind: 'waiting', since: now },
    zoneContacts: Map(),
    buckets,
    leaseTable,
  };
}

function canStartGranting(server: QuotaServer, now: Instant): boolean {
  const { phase, configuration } = server;
  if (phase.kind !== 'waiting' || configuration === null) return false;
  const hasContactedZones = configuration.zones
    .filter(({ name, state }) => state === 'in' && name !== server.zone)
    .every(({ name }) => server.zoneContacts.has(name));
  return hasContactedZones && now - phase.since >= TAKEOVER_WAIT_MS;
}

function startGranting(server: QuotaServer, now: Instant): QuotaServer {
  const buckets = server.buckets.map((bucket) => {
    const refillStartAt = Math.max(bucket.refillStartAt, now);
    return { ...bucket, free: 0, refillStartAt, refilledAt: refillStartAt };
  });
  return { ...server, phase: { kind: 'granting' }, buckets };
}

/** Checks for pauses and isolation in every step, since a draw may arrive before the late timer. */
function updatePhase(server: QuotaServer, now: Instant): QuotaServer {
  const isLate = now - server.lastStepAt > PAUSE_LIMIT_MS + QUOTA_SERVER_TICK_MS;
  const isIsolated = now - server.lastOutsideContactAt > ISOLATION_LIMIT_MS;
  const stepped = { ...server, lastStepAt: now };
  if (isLate || isIsolated) return restartWait(stepped, now);
  return canStartGranting(stepped, now) ? startGranting(stepped, now) : stepped;
}

function configure(server: QuotaServer, configuration: Configuration, now: Instant): QuotaServer {
  const known = server.configuration;
  if (known !== null && known.revision >= configuration.revision) return server;
  const refillStartAt = now + (known === null ? TAKEOVER_WAIT_MS : SHARE_INCREASE_WAIT_MS);
  const shares = configuration.accounts.flatMap((account) =>
    splitOverSeats(account, configuration.seats)
      .filter(({ seat }) => seat === server.seat)
      .map((share) => [account.name, share] as const),
  );
  const { accounts, seats } = configuration;
  const leaseTable = configurePools(server.leaseTable, accounts, seats, server.seat, now);
  const buckets = Map(
    shares.map(([account, share]) => {
      const bucket = server.buckets.get(account);
      if (bucket === undefined) return [account, emptyBucket(share, refillStartAt)] as const;
      const changed = changeShare(advanceBucket(bucket, now), share, refillStartAt);
      return [account, capLeases(changed, leaseTable.pools.get(account)?.lessors ?? [])] as const;
    }),
  );
  return { ...server, configuration, buckets, leaseTable };
}

function recordContact(server: QuotaServer, zone: ZoneName, now: Instant): QuotaServer {
  const isSingle = (server.configuration?.zones.length ?? 0) === 1;
  const lastOutsideContactAt = zone !== server.zone || isSingle ? now : server.lastOutsideContactAt;
  return {
    ...server,
    lastOutsideContactAt,
    zoneContacts: server.zoneContacts.set(zone, now),
  };
}

function emptyGrant(peer: BackendServerName, draw: Draw, retryAfterMs: number): QuotaServerEffect {
  const { drawId, account } = draw;
  return {
    kind: 'grant',
    peer,
    grant: { kind: 'grant', drawId, account, tokens: 0, retryAfterMs, isFinal: false },
  };
}

/**
 * Asserts the burst on an advanced bucket. Outstanding tokens alone may exceed it, since they may
 * have been granted before the burst was lowered.
 */
function assertBucket(account: AccountName, bucket: Bucket): readonly Violation[] {
  const { free, outstanding } = bucket;
  const { burst } = effectiveLimit(bucket);
  const holds =
    free >= -1e-6 && outstanding >= 0 && (free === 0 || free + outstanding <= burst + 1e-6);
  return assertPromise(
    'rate-bound',
    holds,
    () =>
      `${account}: ${free} free and ${outstanding} outstanding tokens exceed the burst ${burst}`,
  );
}

function answerDraw(
  server: QuotaServer,
  peer: BackendServerName,
  draw: Draw,
  now: Instant,
): Step<QuotaServer, QuotaServerEffect> {
  const { phase, buckets } = server;
  const bucket = buckets.get(draw.account);
  if (phase.kind === 'superseded' || bucket === undefined) {
    return step(server, emptyGrant(peer, draw, TAKEOVER_WAIT_MS));
  }
  const refillStartAt =
    phase.kind === 'waiting' ? phase.since + TAKEOVER_WAIT_MS : bucket.refillStartAt;
  if (phase.kind === 'waiting' || refillStartAt > now) {
    return step(
      server,
      emptyGrant(peer, draw, Math.max(QUOTA_SERVER_TICK_MS, refillStartAt - now)),
    );
  }
  const { drawId, account } = draw;
  const taken = grantTokens(advanceBucket(bucket, now), peer, draw, now);
  const { tokens, retryAfterMs } = taken;
  const isFinal = hasWholePool(server.leaseTable, account, taken.bucket);
  const leaseTable = recordPoolDraw(server.leaseTable, account, now);
  return step<QuotaServer, QuotaServerEffect>(
    { ...server, buckets: buckets.set(account, taken.bucket), leaseTable },
    {
      kind: 'grant',
      peer,
      grant: { kind: 'grant', drawId, account, tokens, retryAfterMs, isFinal },
    },
    ...assertBucket(account, taken.bucket),
  );
}

function settle(
  server: QuotaServer,
  message: Extract<QuotaServerMessage, { kind: 'settled' }>,
  now: Instant,
): Step<QuotaServer, QuotaServerEffect> {
  const { peer, settlement } = message;
  const bucket = server.buckets.get(settlement.account);
  if (bucket === undefined) return step(server);
  const next = settleGrant(
    advanceBucket(bucket, now),
    peer,
    settlement.drawId,
    settlement.returned,
  );
  return step(
    { ...server, buckets: server.buckets.set(settlement.account, next) },
    ...assertBucket(settlement.account, next),
  );
}

function withLeaseState(
  server: QuotaServer,
  { state: { buckets, leaseTable }, effects }: Step<LeaseState, QuotaServerEffect>,
): Step<QuotaServer, QuotaServerEffect> {
  return { state: { ...server, buckets, leaseTable }, effects };
}

function maintain(server: QuotaServer, now: Instant): Step<QuotaServer, QuotaServerEffect> {
  const buckets = server.buckets.map((bucket) =>
    pruneInactiveEntries(advanceBucket(bucket, now), now),
  );
  const advanced = { ...server, buckets };
  return server.phase.kind === 'granting'
    ? withLeaseState(advanced, requestLeases(advanced, server.incarnation, now))
    : step(advanced);
}

function answerLeaseRequest(
  server: QuotaServer,
  message: Extract<QuotaServerMessage, { kind: 'lease-requested' }>,
  now: Instant,
): Step<QuotaServer, QuotaServerEffect> {
  const { peer, request } = message;
  const recorded = {
    ...server,
    leaseTable: recordPredecessor(server.leaseTable, request.accounts, now),
  };
  if (server.phase.kind !== 'granting') return step(recorded);
  return withLeaseState(recorded, leaseShares(recorded, peer, request, now));
}

function applyLease(
  server: QuotaServer,
  { seat, lease }: Extract<QuotaServerMessage, { kind: 'leased' }>,
  now: Instant,
): Step<QuotaServer, QuotaServerEffect> {
  const isOwnRequest = lease.incarnation === server.incarnation;
  if (server.phase.kind !== 'granting' || !isOwnRequest) return step(server);
  return withLeaseState(server, step(acceptLease(server, seat, lease, now)));
}

/**
 * Decides for the quota server of a seat.
 *
 * @param state - the quota server
 * @param message - the message to handle
 * @param now - the present instant of the node's monotonic clock
 * @returns the next state and the grants, lease requests and leases to send
 */
export const decideQuotaServer: Decision<QuotaServer, QuotaServerMessage, QuotaServerEffect> = (
  state,
  message,
  now,
) => {
  const server = updatePhase(state, now);
  switch (message.kind) {
    case 'configured':
      return step(configure(server, message.configuration, now));
    case 'draw':
      return answerDraw(server, message.peer, message.draw, now);
    case 'settled':
      return settle(server, message, now);
    case 'lease-requested':
      return answerLeaseRequest(server, message, now);
    case 'leased':
      return applyLease(server, message, now);
    case 'service-answered':
      return step({ ...server, lastOutsideContactAt: now });
    case 'zone-contacted':
      return step(recordContact(server, message.zone, now));
    case 'incarnation-reported':
      return step(
        message.incarnation > server.incarnation
          ? { ...server, phase: { kind: 'superseded' } }
          : server,
      );
    case 'timer-late':
      return step(message.lateMs > PAUSE_LIMIT_MS ? restartWait(server, now) : server);
    case 'tick':
      return maintain(server, now);
  }
};
