import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type {
  QuotaServerEffect,
  QuotaServerMessage,
  QuotaCacheEffect,
  QuotaCacheMessage,
} from '../core/credit/credit-message.js';
import {
  decideQuotaServer,
  QUOTA_SERVER_TICK_MS,
  initialQuotaServer,
  type QuotaServer,
} from '../core/credit/quota-server.js';
import {
  decideQuotaCache,
  initialQuotaCache,
  QUOTA_CACHE_TICK_MS,
  type QuotaCache,
} from '../core/credit/quota-cache.js';
import type { Identity } from '../core/membership/handshake.js';
import type { Configuration } from '../core/model/configuration.js';
import type { AccountName, BackendServerName, RequestId } from '../core/model/names.js';
import type {
  Draw,
  Grant,
  Lease,
  LeaseRequest,
  PeerMessage,
  Settlement,
} from '../core/model/peer-message.js';
import type { Clock } from '../core/model/time.js';
import { refusal, type Refusal } from '../core/pipeline/request-stages.js';
import type { ViolationReporter } from '../core/promises/report.js';
import { Task } from '../core/task/task.js';

/** Dependencies of the credit task on its node. */
export interface CreditTaskOptions {
  readonly identity: Identity;
  readonly clock: Clock;
  readonly report: ViolationReporter;
  readonly randomInteger: (limit: number) => number;
  /** Sends a message to another node; false when it was not sent. */
  readonly send: (peer: BackendServerName, message: PeerMessage) => boolean;
  /** Requests a link to the quota server of a seat. */
  readonly requestLink: (peer: BackendServerName) => void;
}

interface DelayedDraw {
  readonly draw: Draw;
  readonly timer: NodeJS.Timeout;
}

/** Opening a link takes a few milliseconds; after this time the seat counts as unreachable. */
const LINK_WAIT_MS = 150;

/** `randomInt` of `node:crypto` accepts only ranges below 2 ** 48. */
const FIRST_DRAW_ID_LIMIT = 2 ** 47;

/** Owns the node's quota cache and, if it has a seat, the token buckets of that seat. */
export class CreditTask {
  readonly #options: CreditTaskOptions;

  readonly #cache: Task<QuotaCache, QuotaCacheMessage, QuotaCacheEffect>;

  readonly #quotaServer: Task<QuotaServer, QuotaServerMessage, QuotaServerEffect>;

  readonly #waitingRequests = new Map<RequestId, (result: Result<void, Refusal>) => void>();

  /** Draws that wait for a link to their seat. */
  readonly #delayedDraws = new Map<BackendServerName, readonly DelayedDraw[]>();

  readonly #tickers: readonly NodeJS.Timeout[];

  /**
   * @param options - identity, clock and the functions that reach other nodes
   */
  constructor(options: CreditTaskOptions) {
    this.#options = options;
    const { identity, clock } = options;
    this.#cache = new Task({
      initial: initialQuotaCache({
        node: identity.node,
        firstDrawId: options.randomInteger(FIRST_DRAW_ID_LIMIT),
      }),
      decide: decideQuotaCache,
      clock,
      perform: (effect) => this.#performCacheEffect(effect),
    });
    this.#quotaServer = new Task({
      initial: initialQuotaServer({
        seat: identity.node,
        zone: identity.zone,
        incarnation: identity.incarnation,
        now: clock.now(),
      }),
      decide: decideQuotaServer,
      clock,
      perform: (effect) => this.#performQuotaServerEffect(effect),
    });
    this.#tickers = [
      setInterval(() => this.#cache.send({ kind: 'tick' }), QUOTA_CACHE_TICK_MS),
      setInterval(() => this.#quotaServer.send({ kind: 'tick' }), QUOTA_SERVER_TICK_MS),
    ];
  }

  /**
   * Takes one token from the quota of an account.
   *
   * @param requestId - identifier of the root request
   * @param account - the account to charge
   * @returns nothing when a token was taken, or the refusal
   */
  spend(requestId: RequestId, account: AccountName): ResultAsync<void, Refusal> {
    const reply = new Promise<Result<void, Refusal>>((resolve) => {
      this.#waitingRequests.set(requestId, resolve);
    });
    this.#cache.send({ kind: 'spend', requestId, account });
    return new ResultAsync(reply);
  }

  /**
   * Applies a configuration to the quota cache and to the seat.
   *
   * @param configuration - the configuration that takes effect
   */
  configure(configuration: Configuration): void {
    this.#cache.send({ kind: 'configured', configuration });
    this.#quotaServer.send({ kind: 'configured', configuration });
  }

  /**
   * Passes an event outside the quota protocol to the quota server of this node's seat.
   *
   * @param message - contact with the configuration service or another node, or a late wake-up
   */
  sendToQuotaServer(
    message: Extract<
      QuotaServerMessage,
      { kind: 'service-answered' | 'zone-contacted' | 'incarnation-reported' | 'timer-late' }
    >,
  ): void {
    this.#quotaServer.send(message);
  }

  /**
   * Handles a request for tokens from another entry.
   *
   * @param peer - the entry
   * @param draw - the request
   */
  draw(peer: BackendServerName, draw: Draw): void {
    this.#quotaServer.send({ kind: 'draw', peer, draw });
  }

  /**
   * Handles a grant of tokens from a quota server.
   *
   * @param seat - the seat of the quota server
   * @param grant - the granted tokens
   */
  handleGrant(seat: BackendServerName, grant: Grant): void {
    this.#cache.send({ kind: 'granted', seat, grant });
  }

  /**
   * Handles the settlement of another entry.
   *
   * @param peer - the entry
   * @param settlement - the tokens that it spent and returns
   */
  handleSettlement(peer: BackendServerName, settlement: Settlement): void {
    this.#quotaServer.send({ kind: 'settled', peer, settlement });
  }

  /**
   * Sends the draws that were waiting for a link.
   *
   * @param seat - the seat whose quota server is now reachable
   */
  handleSeatOpened(seat: BackendServerName): void {
    this.#takeDelayedDraws(seat).forEach(({ draw }) => this.#sendDraw(seat, draw));
  }

  /**
   * Handles a request from the quota server of another seat to lease shares of this seat.
   *
   * @param peer - the node of the other quota server
   * @param request - the lease request
   */
  handleLeaseRequest(peer: BackendServerName, request: LeaseRequest): void {
    this.#quotaServer.send({ kind: 'lease-requested', peer, request });
  }

  /**
   * Handles the reply to a lease request.
   *
   * @param seat - the lessor's seat
   * @param lease - the leased shares
   */
  handleLease(seat: BackendServerName, lease: Lease): void {
    this.#quotaServer.send({ kind: 'leased', seat, lease });
  }

  /**
   * Drops the draws that wait for a seat, and marks it as unreachable in the quota cache.
   *
   * @param seat - the seat
   */
  handleSeatLost(seat: BackendServerName): void {
    this.#takeDelayedDraws(seat);
    this.#cache.send({ kind: 'seat-lost', seat });
  }

  /** Returns unspent tokens to their quota servers. */
  returnTokens(): void {
    this.#cache.send({ kind: 'stop' });
  }

  /** Stops the timers. */
  close(): void {
    this.#tickers.forEach((ticker) => clearInterval(ticker));
  }

  #performCacheEffect(effect: QuotaCacheEffect): void {
    switch (effect.kind) {
      case 'admit':
        this.#reply(effect.requestId, ok(undefined));
        break;
      case 'refuse':
        this.#reply(effect.requestId, err(refusal('rateExceeded', effect.retryAfterMs)));
        break;
      case 'send-draw':
        this.#sendDraw(effect.seat, effect.draw);
        break;
      case 'send-settlement':
        this.#sendSettlement(effect.seat, effect.settlement);
        break;
      case 'violation':
        this.#options.report(effect);
        break;
    }
  }

  #performQuotaServerEffect(effect: QuotaServerEffect): void {
    switch (effect.kind) {
      case 'grant':
        if (effect.peer === this.#options.identity.node) {
          this.#cache.send({ kind: 'granted', seat: effect.peer, grant: effect.grant });
        } else {
          // The tokens of a grant that cannot be sent are lost, so the rate bound still holds.
          this.#options.send(effect.peer, effect.grant);
        }
        break;
      case 'send-lease-request':
        if (!this.#options.send(effect.seat, effect.request))
          this.#options.requestLink(effect.seat);
        break;
      case 'send-lease':
        // The shares of a lease that cannot be sent are lost as well.
        this.#options.send(effect.peer, effect.lease);
        break;
      case 'violation':
        this.#options.report(effect);
        break;
    }
  }

  #sendDraw(seat: BackendServerName, draw: Draw): void {
    const { identity, send } = this.#options;
    if (seat === identity.node) this.#quotaServer.send({ kind: 'draw', peer: seat, draw });
    else if (!send(seat, draw)) this.#delayDraw(seat, draw);
  }

  #delayDraw(seat: BackendServerName, draw: Draw): void {
    const timer = setTimeout(() => this.handleSeatLost(seat), LINK_WAIT_MS);
    this.#delayedDraws.set(seat, [...(this.#delayedDraws.get(seat) ?? []), { draw, timer }]);
    this.#options.requestLink(seat);
  }

  #takeDelayedDraws(seat: BackendServerName): readonly DelayedDraw[] {
    const delayed = this.#delayedDraws.get(seat) ?? [];
    this.#delayedDraws.delete(seat);
    delayed.forEach(({ timer }) => clearTimeout(timer));
    return delayed;
  }

  #sendSettlement(seat: BackendServerName, settlement: Settlement): void {
    const { identity, send } = this.#options;
    if (seat === identity.node) this.#quotaServer.send({ kind: 'settled', peer: seat, settlement });
    else send(seat, settlement);
  }

  #reply(requestId: RequestId, result: Result<void, Refusal>): void {
    this.#waitingRequests.get(requestId)?.(result);
    this.#waitingRequests.delete(requestId);
  }
}
