import { randomBytes } from 'node:crypto';
import type { Identity } from '../core/membership/handshake.js';
import type { Incarnation, RequestId } from '../core/model/names.js';

const TIME_DIGITS = 9;
const RANDOM_BYTES = 4;
const RADIX = 36;

/**
 * Creates the incarnation of this run of the process. Incarnations of later runs compare greater
 * as long as the wall clocks of a host and of its replacement differ by less than the time between
 * their starts.
 *
 * @returns the incarnation
 */
export function newIncarnation(): Incarnation {
  const time = Date.now().toString(RADIX).padStart(TIME_DIGITS, '0');
  return `${time}${randomBytes(RANDOM_BYTES).toString('hex')}`;
}

/** Generator of request identifiers that are unique in the fleet. */
export class RequestIds {
  readonly #prefix: string;

  #count = 0;

  /**
   * @param identity - identity of the node
   */
  constructor({ node, incarnation }: Identity) {
    this.#prefix = `${node}-${incarnation}`;
  }

  /** @returns a new identifier */
  next(): RequestId {
    this.#count += 1;
    return `${this.#prefix}-${this.#count.toString(RADIX)}`;
  }
}
