import { createHmac, timingSafeEqual } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Caller } from '../model/call.js';
import type { BackendServerName, Incarnation } from '../model/names.js';
import type { Instant } from '../model/time.js';

/** Domain separation from other uses of the fleet's secret. */
const MAC_DOMAIN = 'almondhoist order identifier v1\n';

const RANDOM_BYTES = 16;

/** Longer identifiers are refused before their MAC is computed. */
const MAX_IDENTIFIER_CHARS = 1024;

/** Content of an order identifier. */
export interface OrderClaim {
  /** Node that remembers the order. */
  readonly home: BackendServerName;
  readonly homeIncarnation: Incarnation;
  readonly caller: Caller;
  /** On the monotonic clock of the home; not comparable with the clock of another process. */
  readonly issuedAt: Instant;
}

function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64url');
}

function decode(text: string): string {
  return Buffer.from(text, 'base64url').toString('utf8');
}

/** The first letter distinguishes account names from anonymous callers. */
function encodeCaller(caller: Caller): string {
  switch (caller.kind) {
    case 'account':
      return `k${caller.account}`;
    case 'anonymous':
      return 'o';
  }
}

function decodeCaller(text: string): Caller {
  return text.startsWith('k') ? { kind: 'account', account: text.slice(1) } : { kind: 'anonymous' };
}

function isSameCaller(left: Caller, right: Caller): boolean {
  return encodeCaller(left) === encodeCaller(right);
}

/** Issues and verifies order identifiers with an HMAC under the fleet's secret. */
export class OrderIdSigner {
  readonly #secret: string;

  /**
   * @param secret - HMAC key, shared by all nodes
   */
  constructor(secret: string) {
    this.#secret = secret;
  }

  #mac(body: string): Buffer {
    return createHmac('sha256', this.#secret).update(MAC_DOMAIN).update(body).digest();
  }

  /**
   * Issues an identifier.
   *
   * @param claim - home, incarnation, caller and issue instant
   * @param random - 16 random bytes, fresh for every identifier
   * @returns the identifier, safe in a URL and in a header
   * @throws RangeError when `random` does not have 16 bytes
   */
  issue(claim: OrderClaim, random: Uint8Array): string {
    if (random.length !== RANDOM_BYTES) {
      throw new RangeError(`expected ${RANDOM_BYTES} random bytes, got ${random.length}`);
    }
    const body = [
      encode(claim.home),
      encode(claim.homeIncarnation),
      encode(encodeCaller(claim.caller)),
      encode(String(claim.issuedAt)),
      Buffer.from(random).toString('base64url'),
    ].join('.');
    return `${body}.${this.#mac(body).toString('base64url')}`;
  }

  /**
   * Verifies an identifier. Any node can verify it, but only the home can compute its age.
   *
   * @param text - the identifier as the caller sent it
   * @param caller - the caller of this request
   * @returns the claim, or the code of the refusal
   */
  verify(text: string, caller: Caller): Result<OrderClaim, 'orderIdInvalid'> {
    const end = text.lastIndexOf('.');
    if (end < 0 || text.length > MAX_IDENTIFIER_CHARS) return err('orderIdInvalid');
    const body = text.slice(0, end);
    const expected = this.#mac(body);
    const given = Buffer.from(text.slice(end + 1), 'base64url');
    // Several texts decode to the same bytes, and each of them would be a separate key in the
    // ledger, so only the canonical text is accepted.
    const isCanonical = text.slice(end + 1) === given.toString('base64url');
    if (given.length !== expected.length || !timingSafeEqual(given, expected) || !isCanonical) {
      return err('orderIdInvalid');
    }
    const [home = '', homeIncarnation = '', callerField = '', issuedAt = ''] = body
      .split('.')
      .map(decode);
    const claim = {
      home,
      homeIncarnation,
      caller: decodeCaller(callerField),
      issuedAt: Number(issuedAt),
    };
    return isSameCaller(claim.caller, caller) ? ok(claim) : err('orderIdInvalid');
  }
}
