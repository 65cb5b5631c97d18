import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  adjustProcessorLimit,
  isReportable,
  noProcessorLimit,
  PROCESSOR_INTERVAL_MS,
  type ProcessorLimit,
} from '../../../src/core/dispatch/processor-limit.js';

const USABLE = 400;

function adjust(
  before: ProcessorLimit,
  utilization: number,
  running: number,
  elapsedMs = PROCESSOR_INTERVAL_MS,
): ProcessorLimit {
  return adjustProcessorLimit(before, { utilization, running, elapsedMs, usable: USABLE });
}

function callsOf(limit: ProcessorLimit): number {
  return limit.kind === 'limited' ? limit.calls : USABLE;
}

test('a saturated processor lowers the limit below the calls that run', () => {
  // Guards against a limit that starts at the slots of the server and binds too late.
  assert.ok(callsOf(adjust(noProcessorLimit, 1, 100)) < 100);
});

test('a processor with time to spare sets no limit', () => {
  // Guards against refusals by a node that could do more.
  assert.deepEqual(adjust(noProcessorLimit, 0.9, 100), noProcessorLimit);
});

test('a node in calm keeps room for some calls after one long event', () => {
  // Guards against a node that refuses its few calls after a single busy interval.
  assert.ok(callsOf(adjust(noProcessorLimit, 1, 1)) >= 8);
});

test('the limit ends soon after the load has ended', () => {
  // Guards against a gate that refuses calls long after an overload.
  const lowest = adjust(noProcessorLimit, 1, 8);
  assert.deepEqual(adjust(lowest, 0.1, 0, 5000), noProcessorLimit);
  let limit = lowest;
  for (let passedMs = 0; passedMs < 5000; passedMs += PROCESSOR_INTERVAL_MS) {
    limit = adjust(limit, 0.5, 8);
  }
  assert.deepEqual(limit, noProcessorLimit);
});

test('a limit that falls while the processor stays saturated is reported more than once', () => {
  // Guards against a log that says when a gate was limited first, but not that it lost most of it.
  let limit = adjust(noProcessorLimit, 1, USABLE);
  let reported = limit;
  const reportedCalls = [callsOf(limit)];
  for (let interval = 0; interval < 40; interval += 1) {
    limit = adjust(limit, 1, callsOf(limit));
    if (isReportable(reported, limit)) {
      reported = limit;
      reportedCalls.push(callsOf(limit));
    }
  }
  assert.ok(reportedCalls.length <= 12, `${reportedCalls.length} lines`);
  assert.ok(callsOf(reported) <= 1.5 * callsOf(limit), `${callsOf(reported)} was reported last`);
  assert.equal(isReportable(limit, noProcessorLimit), true);
  assert.equal(isReportable(noProcessorLimit, noProcessorLimit), false);
});
