import assert from 'node:assert/strict';
import { test } from 'node:test';
import { step } from '../../../src/core/task/decision.js';
import { Task } from '../../../src/core/task/task.js';

test('a message sent from an effect is handled after the current step', () => {
  // Guards against a decision that runs before the effects of the previous one are performed.
  const seen: string[] = [];
  const task: Task<number, 'outer' | 'inner', 'send-inner'> = new Task({
    initial: 0,
    clock: { now: () => 0 },
    decide: (state: number, message: 'outer' | 'inner') => {
      seen.push(`${message} ${state}`);
      return message === 'outer' ? step(state + 1, 'send-inner' as const) : step(state + 10);
    },
    perform: () => {
      task.send('inner');
      seen.push('effect done');
    },
  });
  task.send('outer');
  assert.deepEqual(seen, ['outer 0', 'effect done', 'inner 1']);
  assert.equal(task.state, 11);
});
