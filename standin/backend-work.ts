import { List, Set } from 'immutable';
import { step } from '../src/core/task/decision.js';
import type { Step } from '../src/core/task/decision.js';
import type { Milliseconds } from '../src/core/model/time.js';

/** What a backend server can bear. */
export interface WorkSettings {
  readonly slots: number;
  /** Calls that it bears at once directly after a start. */
  readonly coldCapacity: number;
  /** Time at full work until it bears all its slots. */
  readonly warmUpMs: Milliseconds;
  /** Calls that wait for a slot. */
  readonly acceptQueue: number;
  /** Whether the process exits when it is far above what it can bear. */
  readonly exitsWhenOverrun: boolean;
}

/** The state of a backend server's slots. */
export interface Work {
  readonly settings: WorkSettings;
  readonly running: Set<number>;
  readonly waiting: List<number>;
  /** Calls that it bears at once now. */
  readonly capacity: number;
  readonly slowdownFactor: number;
  readonly isDraining: boolean;
  readonly isCrashBodyFatal: boolean;
}

/** Control requests that change how work is done. */
export type WorkControl =
  | { readonly kind: 'slow'; readonly factor: number }
  | { readonly kind: 'crash-on-request'; readonly enabled: boolean }
  | { readonly kind: 'cold' }
  | { readonly kind: 'warm' }
  | { readonly kind: 'drain'; readonly enabled: boolean };

/** Events of calls, numbered by the server. */
export type WorkMessage =
  | { readonly kind: 'arrive'; readonly id: number; readonly hasCrashBody: boolean }
  | { readonly kind: 'finish'; readonly id: number; readonly workedMs: Milliseconds }
  | { readonly kind: 'abandon'; readonly id: number }
  | { readonly kind: 'control'; readonly control: WorkControl };

/** What the server has to do. */
export type WorkEffect =
  | { readonly kind: 'run'; readonly id: number; readonly slowdown: number }
  | { readonly kind: 'shed'; readonly id: number; readonly isQueueFull: boolean }
  | { readonly kind: 'exit' };

/** Above this multiple of the bearable load an answer takes `OVERRUN_SLOWDOWN` times as long. */
const OVERRUN_LOAD_RATIO = 2;
const OVERRUN_SLOWDOWN_FACTOR = 10;
/** Above this multiple of the bearable load the process exits, if it is set to. */
const EXIT_LOAD_RATIO = 4;

/**
 * Describes a freshly started backend server.
 *
 * @param settings - what it can bear
 * @returns its state
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
 * Decides which calls a backend server runs, makes wait or sheds.
 *
 * @param work - the state of the slots
 * @param message - what happened
 * @returns the next state and what to do
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
