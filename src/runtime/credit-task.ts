import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type {
  HolderEffect,
  HolderMessage,
  CacheEffect,
  CacheMessage,
} from '../core/credit/credit-message.js';
import { decideHolder, HOLDER_TICK_MS, initialHolder, type Holder } from '../core/credit/holder.js';
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
import { refusal, type Refusal } from '../core/pipeline/exchange.js';
import type { Report } from '../core/promises/report.js';
import { Task } from '../core/task/task.js';

/** What credit needs of its node. */
export interface CreditTaskOptions {
  readonly identity: Identity;
  readonly clock: Clock;
  readonly report: Report;
  readonly randomInteger: (limit: number) => number;
  /** Sends to another node; false when nothing was sent. */
  readonly send: (peer: BackendServerName, message: PeerMessage) => boolean;
  /** Asks for a link to the holder of a seat. */
  readonly requestLink: (peer: BackendServerName) => void;
}

interface DelayedDraw {
  readonly draw: Draw;
  readonly timer: NodeJS.Timeout;
}

/** A new link takes a few milliseconds; after this time the seat counts as lost. */
const LINK_WAIT_MS = 150;

/** The library's random integers are drawn below 2 to the power of 48. */
const FIRST_DRAW_ID_LIMIT = 2 ** 47;

/** Owner of the node's grants and, if it has a seat, of the buckets of that seat. */
export class CreditTask {
  readonly #options: CreditTaskOptions;

  readonly #cache: Task<QuotaCache, CacheMessage, CacheEffect>;

  readonly #holder: Task<Holder, HolderMessage, HolderEffect>;

  readonly #waitingRequests = new Map<RequestId, (result: Result<void, Refusal>) => void>();

  /** Draws that wait for a link to their seat. */
  readonly #delayedDraws = new Map<BackendServerName, readonly DelayedDraw[]>();

  readonly #tickers: readonly NodeJS.Timeout[];

  /**
   * @param options - identity, clock and how to send to other nodes
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
    this.#holder = new Task({
      initial: initialHolder({
        seat: identity.node,
        zone: identity.zone,
        incarnation: identity.incarnation,
        now: clock.now(),
      }),
      decide: decideHolder,
      clock,
      perform: (effect) => this.#performHolderEffect(effect),
    });
    this.#tickers = [
      setInterval(() => this.#cache.send({ kind: 'tick' }), QUOTA_CACHE_TICK_MS),
      setInterval(() => this.#holder.send({ kind: 'tick' }), HOLDER_TICK_MS),
    ];
  }

  /**
   * Takes one token of an account.
   *
   * @param requestId - identifier of the root request
   * @param account - the account that pays
   * @returns nothing when the request may go on, or the refusal
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
   * @param configuration - the configuration in force from now on
   */
  configure(configuration: Configuration): void {
    this.#cache.send({ kind: 'configured', configuration });
    this.#holder.send({ kind: 'configured', configuration });
  }

  /**
   * Tells the holder of the seat something about its surroundings.
   *
   * @param message - a sign of the service or of another node, or a late wake-up
   */
  sendToHolder(
    message: Extract<
      HolderMessage,
      { kind: 'service-heard' | 'zone-heard' | 'incarnation-heard' | 'woke-late' }
    >,
  ): void {
    this.#holder.send(message);
  }

  /**
   * Handles a request for tokens of another entry.
   *
   * @param peer - the entry
   * @param draw - its request
   */
  draw(peer: BackendServerName, draw: Draw): void {
    this.#holder.send({ kind: 'draw', peer, draw });
  }

  /**
   * Handles the reply of a holder.
   *
   * @param seat - the holder's seat
   * @param grant - its grant
   */
  handleGrant(seat: BackendServerName, grant: Grant): void {
    this.#cache.send({ kind: 'granted', seat, grant });
  }

  /**
   * Handles the report of another entry.
   *
   * @param peer - the entry
   * @param settlement - what it spent and returns
   */
  handleSettlement(peer: BackendServerName, settlement: Settlement): void {
    this.#holder.send({ kind: 'settled', peer, settlement });
  }

  /**
   * Sends the draws that waited for a link.
   *
   * @param seat - the seat whose holder can be reached now
   */
  handleSeatOpened(seat: BackendServerName): void {
    this.#takeDelayedDraws(seat).forEach(({ draw }) => this.#sendDraw(seat, draw));
  }

  /**
   * Handles the request of another seat's holder for shares of this seat.
   *
   * @param peer - the other holder's node
   * @param request - its request
   */
  handleLeaseRequest(peer: BackendServerName, request: LeaseRequest): void {
    this.#holder.send({ kind: 'lease-requested', peer, request });
  }

  /**
   * Handles the reply to a lease request.
   *
   * @param seat - the lessor's seat
   * @param lease - the leased shares
   */
  handleLease(seat: BackendServerName, lease: Lease): void {
    this.#holder.send({ kind: 'leased', seat, lease });
  }

  /**
   * Tells the quota cache that no message reaches a seat any more.
   *
   * @param seat - the seat
   */
  handleSeatLost(seat: BackendServerName): void {
    this.#takeDelayedDraws(seat);
    this.#cache.send({ kind: 'seat-lost', seat });
  }

  /** Hands unspent tokens back. */
  returnTokens(): void {
    this.#cache.send({ kind: 'stop' });
  }

  /** Stops the timers. */
  close(): void {
    this.#tickers.forEach((ticker) => clearInterval(ticker));
  }

  #performCacheEffect(effect: CacheEffect): void {
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

  #performHolderEffect(effect: HolderEffect): void {
    switch (effect.kind) {
      case 'grant':
        if (effect.peer === this.#options.identity.node) {
          this.#cache.send({ kind: 'granted', seat: effect.peer, grant: effect.grant });
        } else {
          // A grant that cannot be sent is lost credit, which keeps the bound.
          this.#options.send(effect.peer, effect.grant);
        }
        break;
      case 'send-lease-request':
        if (!this.#options.send(effect.seat, effect.request))
          this.#options.requestLink(effect.seat);
        break;
      case 'send-lease':
        // A lease that cannot be sent is lost credit as well.
        this.#options.send(effect.peer, effect.lease);
        break;
      case 'violation':
        this.#options.report(effect);
        break;
    }
  }

  #sendDraw(seat: BackendServerName, draw: Draw): void {
    const { identity, send } = this.#options;
    if (seat === identity.node) this.#holder.send({ kind: 'draw', peer: seat, draw });
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
    if (seat === identity.node) this.#holder.send({ kind: 'settled', peer: seat, settlement });
    else send(seat, settlement);
  }

  #reply(requestId: RequestId, result: Result<void, Refusal>): void {
    this.#waitingRequests.get(requestId)?.(result);
    this.#waitingRequests.delete(requestId);
  }
}
