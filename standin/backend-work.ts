import { List, Set } from 'immutable';
import { step } from '../src/core/task/decision.js';
import type { Step } from '../src/core/task/decision.js';
import type { Milliseconds } from '../src/core/model/time.js';

/** Capacity of a backend server. */
export interface WorkSettings {
  readonly slots: number;
  /** Concurrent calls that run without slowdown directly after a start. */
  readonly coldCapacity: number;
  /** Time under full load until the capacity equals the number of slots. */
  readonly warmUpMs: Milliseconds;
  /** Maximum number of calls that wait for a slot; further calls are shed. */
  readonly acceptQueue: number;
  /** Whether the process exits when its load is above `EXIT_LOAD_RATIO` times the capacity. */
  readonly exitsWhenOverrun: boolean;
}

/** Slots, accept queue and warm-up state of a backend server. */
export interface Work {
  readonly settings: WorkSettings;
  readonly running: Set<number>;
  readonly waiting: List<number>;
  /** Concurrent calls that run without slowdown; grows with the work done. */
  readonly capacity: number;
  readonly slowdownFactor: number;
  readonly isDraining: boolean;
  readonly isCrashBodyFatal: boolean;
}

/** Control requests that change how calls run. */
export type WorkControl =
  | { readonly kind: 'slow'; readonly factor: number }
  | { readonly kind: 'crash-on-request'; readonly enabled: boolean }
  | { readonly kind: 'cold' }
  | { readonly kind: 'warm' }
  | { readonly kind: 'drain'; readonly enabled: boolean };

/** Messages about calls, which the server identifies by number, and control requests. */
export type WorkMessage =
  | { readonly kind: 'arrive'; readonly id: number; readonly hasCrashBody: boolean }
  | { readonly kind: 'finish'; readonly id: number; readonly workedMs: Milliseconds }
  | { readonly kind: 'abandon'; readonly id: number }
  | { readonly kind: 'control'; readonly control: WorkControl };

/** Actions that the server performs after a decision. */
export type WorkEffect =
  | { readonly kind: 'run'; readonly id: number; readonly slowdown: number }
  | { readonly kind: 'shed'; readonly id: number; readonly isQueueFull: boolean }
  | { readonly kind: 'exit' };

/** Ratio of running calls to capacity above which `OVERRUN_SLOWDOWN_FACTOR` applies. */
const OVERRUN_LOAD_RATIO = 2;
/** Factor on the service time of a call that starts above `OVERRUN_LOAD_RATIO`. */
const OVERRUN_SLOWDOWN_FACTOR = 10;
/** Ratio of running calls to capacity above which a server with `exitsWhenOverrun` exits. */
const EXIT_LOAD_RATIO = 4;

/**
 * Creates the state of a backend server that has just started.
 *
 * @param settings - capacity and limits
 * @returns the state, with the capacity of a cold server
 */
export function initialWork(settings: WorkSettings): Work {
  return {
    settings,
    running: Set(),
    waiting: List(),
    capacity: settings.coldCapacity,
    slowdownFactor: 1,
    isDraining: false,
    isCrashBodyFatal: false,
  };
}

function startCall(work: Work, id: number): Step<Work, WorkEffect> {
  const running = work.running.add(id);
  const load = running.size / work.capacity;
  const next = { ...work, running };
  if (load > EXIT_LOAD_RATIO && work.settings.exitsWhenOverrun) return step(next, { kind: 'exit' });
  const overload = load > OVERRUN_LOAD_RATIO ? OVERRUN_SLOWDOWN_FACTOR : Math.max(1, load);
  return step(next, { kind: 'run', id, slowdown: overload * work.slowdownFactor });
}

function releaseSlot(work: Work, id: number): Step<Work, WorkEffect> {
  const waiting = work.waiting.filter((other) => other !== id);
  const next = { ...work, running: work.running.remove(id), waiting };
  const nextId = waiting.first();
  if (nextId === undefined || next.running.size >= work.settings.slots) return step(next);
  return startCall({ ...next, waiting: waiting.shift() }, nextId);
}

function warmUp(work: Work, workedMs: Milliseconds): Work {
  const { slots, coldCapacity, warmUpMs } = work.settings;
  const growth = ((slots - coldCapacity) * workedMs) / (warmUpMs * work.capacity);
  return { ...work, capacity: Math.min(slots, work.capacity + growth) };
}

function admitCall(work: Work, id: number, hasCrashBody: boolean): Step<Work, WorkEffect> {
  if (work.isDraining) return step(work, { kind: 'shed', id, isQueueFull: false });
  if (hasCrashBody && work.isCrashBodyFatal) return step(work, { kind: 'exit' });
  if (work.running.size < work.settings.slots) return startCall(work, id);
  if (work.waiting.size >= work.settings.acceptQueue) {
    return step(work, { kind: 'shed', id, isQueueFull: true });
  }
  return step({ ...work, waiting: work.waiting.push(id) });
}

function applyControl(work: Work, request: WorkControl): Work {
  switch (request.kind) {
    case 'slow':
      return { ...work, slowdownFactor: request.factor };
    case 'crash-on-request':
      return { ...work, isCrashBodyFatal: request.enabled };
    case 'cold':
      return { ...work, capacity: work.settings.coldCapacity };
    case 'warm':
      return { ...work, capacity: work.settings.slots };
    case 'drain':
      return { ...work, isDraining: request.enabled };
  }
}

/**
 * Decides which calls a backend server runs, queues or sheds.
 *
 * @param work - the current state
 * @param message - a call event or a control request
 * @returns the next state and the effects to perform
 */
export function decideWork(work: Work, message: WorkMessage): Step<Work, WorkEffect> {
  switch (message.kind) {
    case 'arrive':
      return admitCall(work, message.id, message.hasCrashBody);
    case 'finish':
      return releaseSlot(warmUp(work, message.workedMs), message.id);
    case 'abandon':
      return releaseSlot(work, message.id);
    case 'control':
      return step(applyControl(work, message.control));
  }
}
