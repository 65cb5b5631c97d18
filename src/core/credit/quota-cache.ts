import { Map } from 'immutable';
import type { Configuration } from '../model/configuration.js';
import type { AccountName, BackendServerName, RequestId } from '../model/names.js';
import type { Grant } from '../model/peer-message.js';
import type { Instant } from '../model/time.js';
import { assertPromise } from '../promises/violation.js';
import { step, type Decision, type Step } from '../task/decision.js';
import { GRANT_LIFETIME_MS } from './bucket.js';
import type { QuotaCacheEffect, QuotaCacheMessage } from './credit-message.js';
import {
  availableSeats,
  recordSpend,
  demandPerSecond,
  initialHeldGrants,
  isDueForSettlement,
  longLivedTokens,
  recordAnswer,
  recordDraw,
  markUnreachable,
  retryAfter,
  expirePendingDraws,
  spendableGrant,
  tokensInFlight,
  type AccountSeats,
  type HeldGrant,
  type PendingDraw,
  type HeldGrants,
} from './held-grants.js';
import { isPooled, seatOffset, splitOverSeats } from './seat-split.js';
import { prefetchTarget } from './prefetch-target.js';

/** Interval of the `tick` message. */
export const QUOTA_CACHE_TICK_MS = 20;

/** Longest time that a request waits for a token before it is refused. */
export const SPEND_TIMEOUT_MS = 300;

/**
 * Fraction of the prefetch target at which new tokens are drawn. In the fleet test without faults,
 * a target of 150 ms and a third gave 36.9 messages per second for each entry; 100 ms and a half
 * gave 47.2.
 */
const PREFETCH_THRESHOLD_RATIO = 1 / 3;

/** Demand prefetched with a waiting request; small, since other entries may need the tokens. */
const WAITING_PREFETCH_MS = 50;

/** Time without prefetching after a quota server granted no tokens for it. */
const PREFETCH_BACKOFF_MS = 100;

/** State of an account without spends for this time is removed. */
const ACCOUNT_IDLE_MS = 10_000;

const NO_SEATS: AccountSeats = { seats: [], isPooled: false, ratePerSecond: 0, burst: 0 };

/** State of the quota cache of one entry. */
export interface QuotaCache {
  readonly node: BackendServerName;
  readonly configuration: Configuration | null;
  readonly seats: Map<AccountName, AccountSeats>;
  readonly heldByAccount: Map<AccountName, HeldGrants>;
  /** Account of each waiting request. */
  readonly waiting: Map<RequestId, AccountName>;
  readonly nextDrawId: number;
  readonly isStopping: boolean;
}

type CacheStep = Step<QuotaCache, QuotaCacheEffect>;

/** Options of a quota cache. */
export interface QuotaCacheOptions {
  readonly node: BackendServerName;
  /** Random in production, so that settlements of an earlier incarnation match no new grant. */
  readonly firstDrawId?: number;
}

/**
 * Creates the state of a starting quota cache.
 *
 * @param options - the node and its first draw identifier
 * @returns the state
 */
export function initialQuotaCache({ node, firstDrawId = 1 }: QuotaCacheOptions): QuotaCache {
  return {
    node,
    configuration: null,
    seats: Map(),
    heldByAccount: Map(),
    waiting: Map(),
    nextDrawId: firstDrawId,
    isStopping: false,
  };
}

function chain(previous: CacheStep, next: (cache: QuotaCache) => CacheStep): CacheStep {
  const { state, effects } = next(previous.state);
  return { state, effects: [...previous.effects, ...effects] };
}

function withHeld(cache: QuotaCache, account: AccountName, held: HeldGrants): QuotaCache {
  return { ...cache, heldByAccount: cache.heldByAccount.set(account, held) };
}

function heldOf(cache: QuotaCache, account: AccountName, now: Instant): HeldGrants {
  return (
    cache.heldByAccount.get(account) ??
    initialHeldGrants(cache.seats.get(account) ?? NO_SEATS, seatOffset(cache.node), now)
  );
}

function sendDraw(
  cache: QuotaCache,
  account: AccountName,
  draw: Omit<PendingDraw, 'sentAt'>,
  now: Instant,
): CacheStep {
  const drawId = cache.nextDrawId;
  const pending = { ...draw, sentAt: now };
  const held = recordDraw(heldOf(cache, account, now), drawId, pending);
  const { seat, want, isAhead } = draw;
  return step<QuotaCache, QuotaCacheEffect>(
    { ...withHeld(cache, account, held), nextDrawId: drawId + 1 },
    { kind: 'send-draw', seat, draw: { kind: 'draw', drawId, account, want, isAhead } },
  );
}

function settlementEffect(account: AccountName, grant: HeldGrant): QuotaCacheEffect {
  const { drawId, seat, tokens, spent } = grant;
  const returned = tokens - spent;
  return {
    kind: 'send-settlement',
    seat,
    settlement: { kind: 'settlement', drawId, account, spent, returned },
  };
}

/** Settles the matching grants, so that the quota server can refill its bucket. */
function settleGrants(
  cache: QuotaCache,
  account: AccountName,
  isClosable: (grant: HeldGrant) => boolean,
): CacheStep {
  const held = cache.heldByAccount.get(account);
  const closing = held?.grants.filter(isClosable);
  if (held === undefined || closing === undefined || closing.isEmpty()) return step(cache);
  const grants = held.grants.removeAll(closing.keys());
  return step(
    withHeld(cache, account, { ...held, grants }),
    ...closing.valueSeq().map((grant) => settlementEffect(account, grant)),
  );
}

function admitWaiting(cache: QuotaCache, account: AccountName, now: Instant): CacheStep {
  const effects: QuotaCacheEffect[] = [];
  let held = heldOf(cache, account, now);
  let { waiting } = cache;
  for (const requestId of held.waiting.keys()) {
    const grant = spendableGrant(held, now);
    if (grant === undefined) break;
    held = {
      ...held,
      waiting: held.waiting.delete(requestId),
      grants: held.grants.set(grant.drawId, { ...grant, spent: grant.spent + 1 }),
    };
    waiting = waiting.delete(requestId);
    effects.push(
      { kind: 'admit', requestId },
      ...assertPromise(
        'rate-bound',
        grant.spent < grant.tokens && now < grant.expiresAt,
        () =>
          `${account}: token of draw ${grant.drawId} spent twice or after ${grant.expiresAt} ms`,
      ),
    );
  }
  return step({ ...withHeld(cache, account, held), waiting }, ...effects);
}

function refuse(
  cache: QuotaCache,
  account: AccountName,
  requestIds: readonly RequestId[],
  now: Instant,
): CacheStep {
  const held = heldOf(cache, account, now);
  const retryAfterMs = retryAfter(held, now);
  const left = { ...held, waiting: held.waiting.removeAll(requestIds) };
  return step(
    { ...withHeld(cache, account, left), waiting: cache.waiting.removeAll(requestIds) },
    ...requestIds.map((requestId) => ({ kind: 'refuse', requestId, retryAfterMs }) as const),
  );
}

/** Draws for waiting requests without a token in flight, or refuses them when no seat is left. */
function drawForWaiting(
  cache: QuotaCache,
  account: AccountName,
  now: Instant,
  isRefused: boolean,
): CacheStep {
  const held = heldOf(cache, account, now);
  const uncovered = held.waiting.size - tokensInFlight(held, now);
  if (uncovered <= 0) return step(cache);
  const available = availableSeats(held, now);
  if (available.length === 0) {
    return refuse(cache, account, [...held.waiting.keys()].slice(-uncovered), now);
  }
  // After a refusal, the remaining seats get a draw at the same time to keep the wait short.
  const targets = isRefused ? available : available.slice(0, 1);
  const demand = demandPerSecond(held, now);
  const prefetch = Math.floor((demand * WAITING_PREFETCH_MS) / 1000 / targets.length);
  const want = uncovered + prefetch;
  // Inside the rate, missing prefetch tokens alone cause no backoff: with such a backoff, rate 60
  // and burst 24 had 104 of 13018 requests refused, without it 32. An entry whose demand exceeds
  // the whole rate backs off, or it would take every token before other entries draw again.
  const need = demand > held.ratePerSecond ? want : uncovered;
  return targets.reduce(
    (previous, seat) =>
      chain(previous, (next) => sendDraw(next, account, { seat, want, need, isAhead: false }, now)),
    step<QuotaCache, QuotaCacheEffect>(cache),
  );
}

function prefetchTokens(cache: QuotaCache, account: AccountName, now: Instant): CacheStep {
  const held = heldOf(cache, account, now);
  const target = prefetchTarget(held, now);
  if (cache.isStopping || target === 0 || held.prefetchRetryAt > now) return step(cache);
  const unclaimed = longLivedTokens(held, now) + tokensInFlight(held, now) - held.waiting.size;
  const [seat] = availableSeats(held, now);
  if (seat === undefined || unclaimed > target * PREFETCH_THRESHOLD_RATIO) return step(cache);
  const draw = { seat, want: target - unclaimed, need: 0, isAhead: true };
  return sendDraw(cache, account, draw, now);
}

/** Returns surplus grants at once, since several seats may have granted tokens for one request. */
function returnSurplus(cache: QuotaCache, account: AccountName, now: Instant): CacheStep {
  const held = heldOf(cache, account, now);
  const kept = 2 * prefetchTarget(held, now);
  let remaining = held.grants.reduce((sum, { tokens, spent }) => sum + tokens - spent, 0);
  return settleGrants(cache, account, ({ tokens, spent }) => {
    const isSurplus = remaining - (tokens - spent) >= kept && remaining > 0;
    if (isSurplus) remaining -= tokens - spent;
    return isSurplus;
  });
}

/** Admits, settles, draws and prefetches after a change of one account's state. */
function updateAccount(
  cache: QuotaCache,
  account: AccountName,
  now: Instant,
  isRefused = false,
): CacheStep {
  const admitted = admitWaiting(cache, account, now);
  const closed = chain(admitted, (next) =>
    settleGrants(next, account, (grant) => cache.isStopping || isDueForSettlement(grant, now)),
  );
  const trimmed = chain(closed, (next) => returnSurplus(next, account, now));
  const covered = chain(trimmed, (next) => drawForWaiting(next, account, now, isRefused));
  return chain(covered, (next) => prefetchTokens(next, account, now));
}

function spend(
  cache: QuotaCache,
  requestId: RequestId,
  account: AccountName,
  now: Instant,
): CacheStep {
  const counted = recordSpend(expirePendingDraws(heldOf(cache, account, now), now), now);
  const held = { ...counted, waiting: counted.waiting.set(requestId, now) };
  const waiting = cache.waiting.set(requestId, account);
  return updateAccount({ ...withHeld(cache, account, held), waiting }, account, now);
}

/** Records a grant. A final shortfall applies to all seats, so no draw is sent to another one. */
function recordGrant(
  held: HeldGrants,
  seat: BackendServerName,
  { tokens, retryAfterMs, isFinal }: Grant,
  need: number,
  now: Instant,
): HeldGrants {
  const answer = { given: tokens, need, retryAfterMs };
  const answeredSeats = isFinal && tokens < need ? held.seats : [seat];
  return answeredSeats.reduce((next, each) => recordAnswer(next, each, answer, now), held);
}

function acceptGrant(
  cache: QuotaCache,
  seat: BackendServerName,
  grant: Grant,
  now: Instant,
): CacheStep {
  const { account, drawId, tokens } = grant;
  const held = cache.heldByAccount.get(account);
  const draw = held?.pending.get(drawId);
  // The draw of a repeated grant, or of one that arrives after its lifetime, has been removed.
  if (held === undefined || draw === undefined || draw.seat !== seat) return step(cache);
  const isShort = tokens < (draw.isAhead ? draw.want : draw.need);
  const answered = draw.isAhead
    ? { ...held, prefetchRetryAt: tokens === 0 ? now + PREFETCH_BACKOFF_MS : held.prefetchRetryAt }
    : recordGrant(held, seat, grant, draw.need, now);
  const unspent = { drawId, seat, tokens, spent: 0, expiresAt: draw.sentAt + GRANT_LIFETIME_MS };
  const grants = tokens > 0 ? answered.grants.set(drawId, unspent) : answered.grants;
  const next = { ...answered, grants, pending: answered.pending.delete(drawId) };
  return updateAccount(withHeld(cache, account, next), account, now, isShort && !draw.isAhead);
}

function markSeatLost(cache: QuotaCache, seat: BackendServerName, now: Instant): CacheStep {
  return cache.heldByAccount.reduce((previous, held, account) => {
    if (!held.seats.includes(seat)) return previous;
    const pending = held.pending.filter((draw) => draw.seat !== seat);
    const lost = markUnreachable({ ...held, pending }, seat, now);
    return chain(previous, (next) => updateAccount(withHeld(next, account, lost), account, now));
  }, step<QuotaCache, QuotaCacheEffect>(cache));
}

function abandon(cache: QuotaCache, requestId: RequestId): CacheStep {
  const account = cache.waiting.get(requestId);
  const held = account === undefined ? undefined : cache.heldByAccount.get(account);
  if (account === undefined || held === undefined) return step(cache);
  const next = { ...held, waiting: held.waiting.delete(requestId) };
  return step({
    ...withHeld(cache, account, next),
    waiting: cache.waiting.delete(requestId),
  });
}

function configure(cache: QuotaCache, configuration: Configuration): CacheStep {
  const known = cache.configuration;
  if (known !== null && known.revision >= configuration.revision) return step(cache);
  const seats = Map(
    configuration.accounts.map((account) => [
      account.name,
      {
        seats: splitOverSeats(account, configuration.seats).map((share) => share.seat),
        isPooled: isPooled(account),
        ratePerSecond: account.ratePerSecond,
        burst: account.burst,
      },
    ]),
  );
  const heldByAccount = cache.heldByAccount.map((held, account) => {
    const next = seats.get(account) ?? NO_SEATS;
    const nextSeatIndex = next.isPooled ? 0 : held.nextSeatIndex % Math.max(1, next.seats.length);
    return { ...held, ...next, nextSeatIndex };
  });
  return step({ ...cache, configuration, seats, heldByAccount });
}

function isIdle(held: HeldGrants, now: Instant): boolean {
  return (
    now - held.demandUpdatedAt > ACCOUNT_IDLE_MS &&
    held.grants.isEmpty() &&
    held.pending.isEmpty() &&
    held.waiting.isEmpty()
  );
}

function maintain(cache: QuotaCache, now: Instant): CacheStep {
  const heldByAccount = cache.heldByAccount.filterNot((held) => isIdle(held, now));
  return heldByAccount.reduce(
    (previous, held, account) => {
      const overdue = [...held.waiting]
        .filter(([, since]) => now - since >= SPEND_TIMEOUT_MS - QUOTA_CACHE_TICK_MS)
        .map(([requestId]) => requestId);
      const reviewed = chain(previous, (next) =>
        step(withHeld(next, account, expirePendingDraws(held, now))),
      );
      const refused = chain(reviewed, (next) =>
        overdue.length === 0 ? step(next) : refuse(next, account, overdue, now),
      );
      return chain(refused, (next) => updateAccount(next, account, now));
    },
    step<QuotaCache, QuotaCacheEffect>({ ...cache, heldByAccount }),
  );
}

function stop(cache: QuotaCache): CacheStep {
  return [...cache.heldByAccount.keys()].reduce(
    (previous, account) => chain(previous, (next) => settleGrants(next, account, () => true)),
    step<QuotaCache, QuotaCacheEffect>({ ...cache, isStopping: true }),
  );
}

/**
 * Decides for the quota cache of an entry.
 *
 * @param state - the quota cache
 * @param message - the message to handle
 * @param now - the present instant of the node's monotonic clock
 * @returns the next state, answers to spends and messages to quota servers
 */
export const decideQuotaCache: Decision<QuotaCache, QuotaCacheMessage, QuotaCacheEffect> = (
  state,
  message,
  now,
) => {
  switch (message.kind) {
    case 'configured':
      return configure(state, message.configuration);
    case 'spend':
      return spend(state, message.requestId, message.account, now);
    case 'abandoned':
      return abandon(state, message.requestId);
    case 'granted':
      return acceptGrant(state, message.seat, message.grant, now);
    case 'seat-lost':
      return markSeatLost(state, message.seat, now);
    case 'stop':
      return stop(state);
    case 'tick':
      return maintain(state, now);
  }
};
