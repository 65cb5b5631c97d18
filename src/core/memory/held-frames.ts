import { Map as PersistentMap } from 'immutable';
import { step, type Decision } from '../task/decision.js';

/** Number of a frame with a large body, unique within a node. */
export type FrameNumber = number;

/** What the body of a frame belongs to. */
export type FrameContent =
  /** A call of another node. */
  | 'call'
  /** An answer on its way to the node that waits for it, or received by that node. */
  | 'answer';

/** Limits of the bytes that a node holds for others, in bytes. */
export interface HeldLimits {
  /** All bytes together up to which the node takes over calls of other nodes. */
  readonly callBytes: number;
  /**
   * All bytes together up to which it takes over answers. It is above that of calls, so calls that
   * use up their part leave room for the answers that end them.
   */
  readonly answerBytes: number;
}

interface HeldFrame {
  readonly content: FrameContent;
  readonly bytes: number;
}

/** Frames with large bodies that a node has taken over and has not sent or dropped. */
export interface HeldFrames {
  readonly limits: HeldLimits;
  readonly frames: PersistentMap<FrameNumber, HeldFrame>;
  readonly heldBytes: number;
}

/** What happened to a frame. */
export type HeldMessage =
  | ({
      readonly kind: 'offered';
      readonly number: FrameNumber;
      /** Bytes that the node holds beside the frames: bodies of its callers and their answers. */
      readonly otherBytes: number;
    } & HeldFrame)
  /** The body of the frame was sent or dropped. */
  | { readonly kind: 'released'; readonly number: FrameNumber };

/** A frame that does not fit. */
export interface HeldEffect {
  readonly kind: 'refuse';
  readonly number: FrameNumber;
}

/**
 * Creates the state of a node without frames.
 *
 * @param limits - limits of the bytes that it holds
 * @returns the state
 */
export function createHeldFrames(limits: HeldLimits): HeldFrames {
  return { limits, frames: PersistentMap(), heldBytes: 0 };
}

function limitOf({ callBytes, answerBytes }: HeldLimits, content: FrameContent): number {
  switch (content) {
    case 'call':
      return callBytes;
    case 'answer':
      return answerBytes;
  }
}

/**
 * Decides whether a node takes over a frame with a large body. A frame is taken over as a whole or
 * refused at once, so no frame ever waits for memory that another one holds. A node without frames
 * takes over one of any size, or a body beyond the limit could never pass.
 *
 * @param state - the frames that the node holds
 * @param message - what happened to a frame
 * @returns the next state, and the refusal of a frame that does not fit
 */
export const decideHeldFrames: Decision<HeldFrames, HeldMessage, HeldEffect> = (state, message) => {
  const { limits, frames, heldBytes } = state;
  switch (message.kind) {
    case 'offered': {
      const { number, content, bytes, otherBytes } = message;
      const limit = limitOf(limits, content);
      const isFitting = heldBytes + otherBytes + bytes <= limit;
      if (!isFitting && frames.size > 0) return step(state, { kind: 'refuse', number });
      return step({
        ...state,
        frames: frames.set(number, { content, bytes }),
        heldBytes: heldBytes + bytes,
      });
    }
    case 'released': {
      const bytes = frames.get(message.number)?.bytes ?? 0;
      return step({
        ...state,
        frames: frames.delete(message.number),
        heldBytes: heldBytes - bytes,
      });
    }
  }
};
