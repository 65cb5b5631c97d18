import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LineBuffer, type LineOutput } from '../../src/runtime/line-buffer.js';

const LINE = 'x'.repeat(1000);
const LINES = 10_000;
const MAX_HELD_BYTES = 2_000_000;

interface Write {
  readonly text: string;
  readonly onEnd: (error?: Error | null) => void;
}

/** Output whose writes end when the test says so. */
class HeldOutput implements LineOutput {
  #writes: readonly Write[] = [];

  get writableLength(): number {
    return this.#writes.reduce((sum, { text }) => sum + text.length, 0);
  }

  readonly write = (text: string, onEnd: Write['onEnd']): void => {
    this.#writes = [...this.#writes, { text, onEnd }];
  };

  endWrites(error: Error | null = null): void {
    const writes = this.#writes;
    this.#writes = [];
    writes.forEach(({ onEnd }) => onEnd(error));
  }
}

function openBuffer() {
  const output = new HeldOutput();
  const lost: number[] = [];
  return { output, lost, buffer: new LineBuffer(output, (lines) => lost.push(lines)) };
}

test('an output that is not read holds a limited part of the log', () => {
  // Guards against a stalled reader of the log that drives a node over its memory limit.
  const { output, lost, buffer } = openBuffer();
  for (let line = 0; line < LINES; line += 1) buffer.add(LINE);
  buffer.flush();
  const heldBytes = output.writableLength;
  assert.ok(heldBytes < MAX_HELD_BYTES, `${heldBytes} bytes`);
  output.endWrites();
  assert.deepEqual(lost, [LINES - heldBytes / (LINE.length + 1)]);
});

test('lines that could not be written are reported once the output works again', () => {
  // Guards against a full disk that hides how much of the log is missing.
  const { output, lost, buffer } = openBuffer();
  ['one', 'two'].forEach((line) => buffer.add(line));
  buffer.flush();
  output.endWrites(new Error('ENOSPC'));
  assert.deepEqual(lost, []);
  buffer.add('three');
  buffer.flush();
  output.endWrites();
  assert.deepEqual(lost, [2]);
});
