import type { HeldLimits } from './held-frames.js';

/** Fraction of the memory limit that buffered request bodies may use. */
export const BODY_MEMORY_SHARE = 0.3;

/**
 * Fraction of the memory limit that answers of the backend server may use, and answers that callers
 * have not read: the largest one that is received can also be kept until it is read.
 */
const ANSWER_MEMORY_SHARE = 0.2;

/**
 * Fraction of the memory limit up to which a node takes over calls of other nodes, with all that it
 * holds for others counted.
 */
const CALL_MEMORY_SHARE = 0.35;

/**
 * Fraction of the memory limit up to which it takes over answers. The process itself uses up to a
 * third of 350 MB, and garbage that V8 has not collected counts too.
 */
const HELD_MEMORY_SHARE = 0.45;

/** Fraction of the memory limit that is left for answers of the backend server in any case. */
const MIN_ANSWER_MEMORY_SHARE = 0.1;

/** Fraction of the descriptors for callers; the others are for backend server, peers and store. */
export const CALLER_DESCRIPTOR_SHARE = 0.6;

/**
 * Computes up to how many bytes a node takes over frames of other nodes.
 *
 * @param memoryBytes - memory limit of the process
 * @returns the limits in bytes
 */
export function heldLimits(memoryBytes: number): HeldLimits {
  return {
    callBytes: memoryBytes * CALL_MEMORY_SHARE,
    answerBytes: memoryBytes * HELD_MEMORY_SHARE,
  };
}

/**
 * Computes how much memory answers that are being received, or that callers have not read, may use.
 *
 * @param memoryBytes - memory limit of the process
 * @param answerBytes - bytes of the answers of the other kind
 * @param otherBytes - bytes of all else that the node holds for others
 * @returns the limit in bytes
 */
export function answerMemoryBytes(
  memoryBytes: number,
  answerBytes: number,
  otherBytes: number,
): number {
  const share = Math.min(
    memoryBytes * ANSWER_MEMORY_SHARE,
    memoryBytes * HELD_MEMORY_SHARE - otherBytes,
  );
  return Math.max(share - answerBytes, memoryBytes * MIN_ANSWER_MEMORY_SHARE);
}
