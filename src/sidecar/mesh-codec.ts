import { Packr } from 'msgpackr';
import { err, ok, type Result } from 'neverthrow';
import type { MeshFrame } from '../core/exchange/mesh-frame.js';

const FRAME_KINDS: ReadonlySet<string> = new Set<MeshFrame['kind']>([
  'hello',
  'call',
  'cancel',
  'reply',
  'status',
  'changes',
  'follow',
  'feed',
  'feed-lost',
  'usage',
  'totals',
  'marks',
  'leaving',
  'ping',
  'pong',
]);

function isFrame(value: unknown): value is MeshFrame {
  return (
    typeof value === 'object' &&
    value !== null &&
    'kind' in value &&
    typeof value.kind === 'string' &&
    FRAME_KINDS.has(value.kind)
  );
}

/**
 * Encodes and decodes the frames of one link. Each kind of object is described once on a link and
 * referred to by a number afterwards, so frames have to be decoded in the order of their encoding.
 */
export class MeshCodec {
  readonly #encoder = new Packr({ sequential: true });

  readonly #decoder = new Packr({ sequential: true });

  /**
   * @param frame - the frame
   * @returns its bytes
   */
  encode(frame: MeshFrame): Uint8Array {
    return this.#encoder.pack(frame);
  }

  /**
   * @param bytes - a frame as received
   * @returns the frame, or why it is none
   */
  decode(bytes: Uint8Array): Result<MeshFrame, string> {
    try {
      const value: unknown = this.#decoder.unpack(bytes);
      return isFrame(value) ? ok(value) : err('a frame of unknown kind');
    } catch (error) {
      return err(error instanceof Error ? error.message : String(error));
    }
  }
}
