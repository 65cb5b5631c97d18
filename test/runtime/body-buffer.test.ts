import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { BodyBuffer } from '../../src/runtime/body-buffer.js';

const RUNS = 200;

test('a body is the same with and without a declared length, however it is cut', () => {
  // Guards against bytes that are lost or moved between the chunks of a body.
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 12 }), (parts) => {
      const chunks = parts.map((part) => Buffer.from(part));
      const expected = Buffer.concat(chunks);
      [expected.length, null].forEach((declaredBytes) => {
        const buffer = new BodyBuffer(declaredBytes);
        chunks.forEach((chunk) => buffer.add(chunk));
        assert.equal(buffer.length, expected.length);
        assert.deepEqual(buffer.take(), expected);
      });
    }),
    { numRuns: RUNS, seed: 1 },
  );
});

const LARGE_BODY_BYTES = 16_000_000;
const CHUNK_BYTES = 64_000;

test('a whole body of declared length is not copied once more', () => {
  // Guards against uploads that each take twice their size when they are complete.
  const buffer = new BodyBuffer(LARGE_BODY_BYTES);
  for (let bytes = 0; bytes < LARGE_BODY_BYTES; bytes += CHUNK_BYTES) {
    buffer.add(Buffer.alloc(CHUNK_BYTES, 1));
  }
  const before = process.memoryUsage().arrayBuffers;
  const body = buffer.take();
  const taken = process.memoryUsage().arrayBuffers - before;
  assert.equal(body.length, LARGE_BODY_BYTES);
  assert.ok(taken < LARGE_BODY_BYTES / 2, `${taken} more bytes`);
});

test('a caller that declares a large body reserves no memory before it sends', () => {
  // Guards against callers that take the memory of a node by their headers alone.
  const before = process.memoryUsage().arrayBuffers;
  const buffers = Array.from({ length: 20 }, () => {
    const buffer = new BodyBuffer(LARGE_BODY_BYTES);
    buffer.add(Buffer.alloc(CHUNK_BYTES, 1));
    return buffer;
  });
  const taken = process.memoryUsage().arrayBuffers - before;
  assert.ok(taken < LARGE_BODY_BYTES, `${taken} bytes for ${buffers.length} bodies`);
});
