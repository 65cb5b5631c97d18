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

/** Encoded bytes without content, as MessagePack has them: their type and their length. */
const EMPTY_BYTES = [0xc4, 0];

/** Type of encoded bytes whose length has 32 bits. */
const BINARY_TYPE = 0xc6;
const BINARY_HEAD_BYTES = 5;

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
   * Encodes a frame that ends with a body, without copying the body.
   *
   * @param frame - the frame, with an empty body in its last field
   * @param bodyBytes - length of its real body
   * @returns the encoded bytes up to the body
   */
  encodeHead(frame: MeshFrame, bodyBytes: number): Uint8Array {
    const encoded = this.#encoder.pack(frame);
    const head = Buffer.allocUnsafe(encoded.length - EMPTY_BYTES.length + BINARY_HEAD_BYTES);
    head.set(encoded.subarray(0, -EMPTY_BYTES.length));
    head[head.length - BINARY_HEAD_BYTES] = BINARY_TYPE;
    head.writeUInt32BE(bodyBytes, head.length - BINARY_HEAD_BYTES + 1);
    return head;
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
