import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { startGate, type Gate } from '../../../src/core/admission/gate-state.js';
import { decideGate } from '../../../src/core/admission/gate.js';
import type { GateEffect, GateMessage } from '../../../src/core/admission/gate-message.js';
import type { Importance } from '../../../src/core/model/configuration.js';
import {
  admitFractionFor,
  INITIAL_BACKPRESSURE,
  recordFeedback,
} from '../../../src/core/pressure/pressure.js';
import { backendServer, call } from './fixtures.js';

/** Load of one account in one importance class, in roots per second over time. */
export interface TrafficSource {
  readonly account: string;
  readonly importance: Importance;
  readonly rate: (atMs: number) => number;
}

export interface LoopOptions {
  readonly sources: readonly TrafficSource[];
  readonly slots: number;
  readonly coldCapacity?: number;
  readonly serviceMs: (atMs: number, running: number) => number;
  readonly deadlineMs: number;
  readonly durationMs: number;
  /** Whether an entry refuses roots early, based on the feedback of the gate. */
  readonly hasEntry: boolean;
  readonly seed: number;
}

/** Send time of one root, and the time of its answer when that arrived before the deadline. */
export interface Sample {
  readonly source: TrafficSource;
  readonly atMs: number;
  readonly servedAtMs: number | null;
}

export interface LoopResult {
  readonly samples: readonly Sample[];
  readonly violations: readonly string[];
  readonly running: readonly number[];
  /** Admit fraction of the first source at each tick. */
  readonly fractions: readonly number[];
}

/** Simulates a gate and its backend server in steps of 1 ms, without sockets or timers. */
export function runLoop(options: LoopOptions): LoopResult {
  const random = xoroshiro128plus(options.seed);
  const samples = new Map<string, Sample>();
  const ends: { at: number; requestId: string; latency: number }[] = [];
  const violations: string[] = [];
  const running: number[] = [];
  const fractions: number[] = [];
  let pressure = INITIAL_BACKPRESSURE;
  let state: Gate = startGate({
    backendServer: backendServer(options.slots, options.coldCapacity),
    state: 'serving',
    now: 0,
  });

  const perform = (effect: GateEffect, now: number): void => {
    if (effect.kind === 'violation') violations.push(`${effect.promise}: ${effect.detail}`);
    if (effect.kind === 'dispatch') {
      const latency = options.serviceMs(now, state.running.size);
      ends.push({ at: now + latency, requestId: effect.call.requestId, latency });
    }
    const sample = effect.kind === 'answer' ? samples.get(effect.requestId) : undefined;
    if (effect.kind !== 'answer' || sample === undefined) return;
    const { account, importance } = sample.source;
    const caller = { kind: 'account', account } as const;
    const feedback = [effect.feedback];
    pressure = recordFeedback(pressure, { route: importance, caller, feedback, now });
    const isInTime = effect.outcome.kind === 'answered' && now <= sample.atMs + options.deadlineMs;
    if (isInTime) samples.set(effect.requestId, { ...sample, servedAtMs: now });
  };
  const send = (message: GateMessage, now: number): void => {
    const { state: next, effects } = decideGate(state, message, now);
    state = next;
    effects.forEach((effect) => perform(effect, now));
  };
  const arrive = (source: TrafficSource, now: number): void => {
    const { account, importance } = source;
    const requestId = `${samples.size}`;
    samples.set(requestId, { source, atMs: now, servedAtMs: null });
    const rootHash = uniformFloat64(random);
    const caller = { kind: 'account', account } as const;
    const admitted = admitFractionFor(pressure, importance, caller, now);
    if (options.hasEntry && rootHash >= admitted) return;
    const deadline = now + options.deadlineMs;
    const base = { requestId, account, importance, route: importance, rootHash, deadline };
    send({ kind: 'arrived', call: call(base) }, now);
  };

  for (let now = 0; now < options.durationMs; now += 1) {
    const due = ends.filter(({ at }) => at <= now);
    due.forEach((end) => ends.splice(ends.indexOf(end), 1));
    const outcome = { kind: 'answered', status: 200, headers: [], body: new Uint8Array() } as const;
    due.forEach(({ requestId, latency }) => {
      const end = { kind: 'answered', outcome } as const;
      send({ kind: 'ended', requestId, end, ownLatencyMs: latency }, now);
    });
    options.sources.forEach((source) => {
      let expected = source.rate(now) / 1_000;
      for (; expected > 0; expected -= 1) {
        if (uniformFloat64(random) < expected) arrive(source, now);
      }
    });
    if (now % 100 === 0) {
      send({ kind: 'tick' }, now);
      fractions.push(
        ...[...state.fractions.admissions.values()].slice(0, 1).map((a) => a.fraction),
      );
    }
    running.push(state.running.size);
  }
  return { samples: [...samples.values()], violations, running, fractions };
}
