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
 * Encodes and decodes the frames of one link as MessagePack. The structure of an object is sent
 * once per link and referenced by a number afterwards, so frames have to be decoded in the order
 * in which they were encoded.
 */
export class MeshCodec {
  readonly #encoder = new Packr({ sequential: true });

  readonly #decoder = new Packr({ sequential: true });

  /**
   * Encodes a frame.
   *
   * @param frame - the frame
   * @returns the encoded bytes
   */
  encode(frame: MeshFrame): Uint8Array {
    return this.#encoder.pack(frame);
  }

  /**
   * Decodes a frame.
   *
   * @param bytes - the encoded bytes
   * @returns the frame, or the reason why the bytes are not a valid frame
   */
  decode(bytes: Uint8Array): Result<MeshFrame, string> {
    try {
      const value: unknown = this.#decoder.unpack(bytes);
      return isFrame(value) ? ok(value) : err('unknown frame kind');
    } catch (error) {
      return err(error instanceof Error ? error.message : String(error));
    }
  }
}
