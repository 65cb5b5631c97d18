import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  decidePipeline,
  emptyPipeline,
  isReadable,
  type CallerPipeline,
  type PipelineEffect,
  type PipelineEvent,
} from '../../../src/core/exchange/caller-pipeline.js';

/** What happens on a connection, before the numbers of requests are known. */
type Happening =
  | { readonly kind: 'read'; readonly bytes: number; readonly isLast: boolean }
  /** The answer to one of the requests that run, chosen by a fraction. */
  | { readonly kind: 'answer'; readonly fraction: number; readonly bytes: number }
  | { readonly kind: 'unreadable' }
  | { readonly kind: 'hold' }
  | { readonly kind: 'release' }
  | { readonly kind: 'stop' };

interface Play {
  readonly pipeline: CallerPipeline;
  readonly effects: readonly PipelineEffect[];
  readonly read: number;
  readonly running: ReadonlySet<number>;
  readonly isHeld: boolean;
  readonly isStopping: boolean;
}

const START: Play = {
  pipeline: emptyPipeline,
  effects: [],
  read: 0,
  running: new Set(),
  isHeld: false,
  isStopping: false,
};

function send(before: Play, event: PipelineEvent): Play {
  const { isHeld, isStopping } = before;
  const { state, effects } = decidePipeline(before.pipeline, { ...event, isHeld, isStopping });
  const running = new Set(before.running);
  effects.forEach((effect) => {
    if (effect.kind === 'handle') running.add(effect.number);
  });
  if (event.kind === 'answered') running.delete(event.number);
  return { ...before, pipeline: state, effects: [...before.effects, ...effects], running };
}

function play(before: Play, happening: Happening): Play {
  switch (happening.kind) {
    case 'read': {
      const { bytes, isLast } = happening;
      const next = send(before, {
        kind: 'request-read',
        number: before.read,
        bytes,
        isLast,
      });
      return { ...next, read: before.read + 1 };
    }
    case 'answer': {
      const number = [...before.running][Math.floor(happening.fraction * before.running.size)];
      if (number === undefined) return before;
      return send(before, { kind: 'answered', number, bytes: happening.bytes });
    }
    case 'unreadable':
      return send(before, { kind: 'unreadable', code: 'requestMalformed' });
    case 'hold':
      return { ...before, isHeld: true };
    case 'release':
      return send({ ...before, isHeld: false }, { kind: 'released' });
    case 'stop':
      return { ...before, isStopping: true };
  }
}

/** Answers everything that is still open, as a node does before it exits. */
function finish(before: Play): Play {
  let current = play(before, { kind: 'release' });
  while (current.running.size > 0) {
    current = play(current, { kind: 'answer', fraction: 0, bytes: 1 });
  }
  return current;
}

const HAPPENING: fc.Arbitrary<Happening> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('read' as const),
      bytes: fc.nat(900_000),
      isLast: fc.nat(30).map((at) => at === 0),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('answer' as const),
      fraction: fc.double({ min: 0, max: 0.999, noNaN: true }),
      bytes: fc.nat(900_000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.constantFrom<Happening>(
      { kind: 'unreadable' },
      { kind: 'hold' },
      { kind: 'release' },
      { kind: 'stop' },
    ),
  },
);

function numbersOf(effects: readonly PipelineEffect[], kind: 'handle' | 'write' | 'discard') {
  return effects.flatMap((effect) => (effect.kind === kind ? [effect.number] : []));
}

test('in any order of events the caller sees each handled request answered, in order', () => {
  // Guards against answers that are lost, swapped or written behind the end of a connection.
  fc.assert(
    fc.property(fc.array(HAPPENING, { maxLength: 200 }), (happenings) => {
      const { effects, read, pipeline } = finish(happenings.reduce(play, START));
      const handled = numbersOf(effects, 'handle');
      const written = numbersOf(effects, 'write');
      const discarded = numbersOf(effects, 'discard');
      assert.deepEqual(written, handled);
      assert.deepEqual(
        handled,
        [...handled].sort((left, right) => left - right),
      );
      // Every request is either handled or counts as unread, and nothing unread is handled later.
      assert.deepEqual(
        [...handled, ...discarded],
        Array.from({ length: read }, (_, at) => at),
      );
      const ends = effects.flatMap((effect, at) =>
        effect.kind === 'refuse' || (effect.kind === 'write' && effect.isLast) ? [at] : [],
      );
      assert.ok(ends.length <= 1);
      const [end] = ends;
      const behind = end === undefined ? [] : effects.slice(end + 1);
      assert.ok(behind.every(({ kind }) => kind === 'discard'));
      // A connection with requests that count as unread has to end, or the caller waits for them.
      if (discarded.length > 0) assert.equal(ends.length, 1);
      assert.deepEqual(pipeline.requests, []);
    }),
    { seed: 20261205, numRuns: 2000 },
  );
});

test('a connection runs a bounded number of requests and holds a bounded number of bytes', () => {
  // Guards against one caller that takes a whole node with one connection.
  const request: Happening = { kind: 'read', bytes: 0, isLast: false };
  const full = Array.from({ length: 500 }, () => request).reduce(play, START);
  assert.ok(full.running.size <= 100);
  assert.equal(isReadable(full.pipeline), false);
  const large: Happening = { kind: 'read', bytes: 60_000_000, isLast: false };
  const loaded = [large, request, request].reduce(play, START);
  assert.deepEqual([...loaded.running], [0]);
  assert.equal(isReadable(loaded.pipeline), false);
  const relieved = play(loaded, { kind: 'answer', fraction: 0, bytes: 1 });
  assert.deepEqual([...relieved.running], [1, 2]);
  assert.equal(isReadable(relieved.pipeline), true);
});
