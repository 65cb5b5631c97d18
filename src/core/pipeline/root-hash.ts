import { createHash } from 'node:crypto';
import type { RequestId } from '../model/names.js';

const UINT32_RANGE = 2 ** 32;

/**
 * Maps a root request to a number that is the same at all nodes, so that all calls of one root get
 * the same decision when only a fraction is admitted.
 *
 * @param rootId - identifier of the root request
 * @returns a number in [0, 1), uniformly distributed over identifiers
 */
export function computeRootHash(rootId: RequestId): number {
  return createHash('md5').update(rootId).digest().readUInt32BE(0) / UINT32_RANGE;
}
