import type { Dispatcher } from 'undici';
import type { ProbeResult } from '../src/runtime/crash-probe.js';
import type { BackendPool } from '../src/runtime/environment.js';
import type { SimulatedTime } from './simulated-time.js';
import type { SimulatedProcess } from './simulated-process.js';
import type { Step } from './step.js';
import type { InjectedDefect } from './injected-defect.js';

/** Behaviour of a backend server. */
export type BackendMode = 'well' | 'slow' | 'failing' | 'cold' | 'down';

/** A request that a backend server starts to run. */
export interface Run {
  readonly server: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

/** Sends a nested call of a run; resolves to whether it succeeded. */
export type NestedCall = (run: Run, target: string) => Promise<boolean>;

export interface FakeBackendOptions {
  readonly name: string;
  readonly slots: number;
  readonly coldCapacity: number;
  readonly time: SimulatedTime;
  readonly random: () => number;
  /**
   * Called when a run starts. After a crash that ended active runs, `coldRunning` is the number of
   * concurrent runs until the first of these ends; otherwise it is null.
   */
  readonly onRunStart: (run: Run, coldRunning: number | null) => void;
  readonly defect: InjectedDefect | null;
  /** Targets of the nested calls that a run makes before it answers. */
  readonly nestedTargets: (run: Run) => readonly string[];
  readonly sendNestedCall: NestedCall;
}

interface ActiveRun {
  readonly process: SimulatedProcess;
  readonly fail: (code: string) => void;
}

const RESTART_MS = 500;
const SLOW_FACTOR = 20;
const MAX_RUN_MS = 20;

/** Builds the expected body of the answer for a path. */
export function answerFor(path: string): string {
  return `${path}|`.repeat(1 + (path.length % 5));
}

/** A simulated backend server that can be slow, fail, crash, turn cold or stop answering. */
export class FakeBackend {
  mode: BackendMode = 'well';

  readonly #options: FakeBackendOptions;

  readonly #activeRuns = new Set<ActiveRun>();

  #incarnation = 1;

  #hasEndedRun = true;

  constructor(options: FakeBackendOptions) {
    this.#options = options;
  }

  setMode(mode: Extract<Step, { kind: 'backend' }>['mode']): void {
    if (mode === 'crash') this.crash();
    else if (mode === 'silent') this.silence();
    else if (this.mode !== 'down') this.mode = mode;
  }

  crash(): void {
    const { defect } = this.#options;
    if (this.mode === 'down') return;
    // Without a run in flight, the gate detects the crash only from the next answer.
    this.#hasEndedRun = this.#activeRuns.size === 0;
    if (defect === 'unseen-crash') {
      this.#activeRuns.clear();
      this.restart();
      return;
    }
    this.mode = 'down';
    this.#activeRuns.forEach((running) => running.fail('ECONNRESET'));
    this.#activeRuns.clear();
    this.#options.time.after(null, RESTART_MS, () => this.restart());
  }

  restart(): void {
    this.mode = 'well';
    this.#incarnation += 1;
  }

  /** Makes the connections of all active runs silent; new connections work. */
  silence(): void {
    this.#activeRuns.clear();
  }

  /** Cancels the runs of a node whose process has ended and closed its connections. */
  cancelRuns(process: SimulatedProcess): void {
    [...this.#activeRuns]
      .filter((running) => running.process === process)
      .forEach((running) => this.#activeRuns.delete(running));
  }

  probe(process: SimulatedProcess): Promise<ProbeResult> {
    return new Promise((resolve) => {
      this.#options.time.after(process, 2, () =>
        resolve(
          this.mode === 'down'
            ? { kind: 'refused' }
            : { kind: 'answered', incarnation: `${this.#incarnation}` },
        ),
      );
    });
  }

  openPool(process: SimulatedProcess): BackendPool {
    const resolveAtOnce = async () => {};
    return {
      close: resolveAtOnce,
      destroy: resolveAtOnce,
      dispatch: (options, handler) => {
        this.#options.time.after(process, 1, () => this.#connect(process, options, handler));
        return true;
      },
    };
  }

  #connect(
    process: SimulatedProcess,
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): void {
    const { time } = this.#options;
    let isEnded = false;
    const aborts: ((error: Error) => void)[] = [];
    const controller = {
      abort: (error: Error) => aborts.forEach((abort) => abort(error)),
    } as Dispatcher.DispatchController;
    const fail = (error: Error): void => {
      if (isEnded) return;
      isEnded = true;
      time.after(process, 1, () => handler.onResponseError?.(controller, error));
    };
    aborts.push(fail);
    if (this.mode === 'down') {
      fail(Object.assign(new Error('refused'), { code: 'ECONNREFUSED' }));
      return;
    }
    handler.onRequestStart?.(controller, {});
    if (isEnded) return;
    const answer = (status: number, body: string, headers: Readonly<Record<string, string>>) => {
      if (isEnded) return;
      isEnded = true;
      const own = {
        'x-server-incarnation': `${this.#incarnation}`,
        'content-length': `${body.length}`,
      };
      time.after(process, 1, () => {
        handler.onResponseStart?.(controller, status, { ...own, ...headers });
        handler.onResponseData?.(controller, Buffer.from(body));
        handler.onResponseEnd?.(controller, {});
      });
    };
    const running: ActiveRun = {
      process,
      fail: (code) => fail(Object.assign(new Error(code), { code })),
    };
    void this.#run(this.#toRun(options), running, answer);
    if (this.#options.defect === 'repeated-run') {
      void this.#run(this.#toRun(options), running, answer);
    }
  }

  #toRun({ path, headers, body }: Dispatcher.DispatchOptions): Run {
    const flat = headers as readonly string[];
    const pairs = flat.flatMap((name, index): readonly [string, string][] =>
      index % 2 === 0 ? [[name, flat[index + 1] ?? '']] : [],
    );
    const text = body === null || body === undefined ? '' : String(body);
    return { server: this.#options.name, path, headers: new Map(pairs), body: text };
  }

  async #run(
    run: Run,
    running: ActiveRun,
    answer: (status: number, body: string, headers: Readonly<Record<string, string>>) => void,
  ): Promise<void> {
    const { slots, coldCapacity, onRunStart, nestedTargets, sendNestedCall, defect } =
      this.#options;
    const capacity = this.mode === 'cold' ? coldCapacity : slots;
    if (this.#activeRuns.size >= capacity) {
      answer(503, 'full', { 'x-not-run': 'true' });
      return;
    }
    this.#activeRuns.add(running);
    onRunStart(run, this.#hasEndedRun ? null : this.#activeRuns.size);
    if (run.path.includes('crash')) {
      this.crash();
      return;
    }
    await this.#simulateWork();
    let isSuccessful = true;
    for (const target of nestedTargets(run)) {
      if (isSuccessful && this.#activeRuns.has(running))
        isSuccessful = await sendNestedCall(run, target);
    }
    if (!this.#activeRuns.delete(running)) return;
    this.#hasEndedRun = true;
    const isFailing = this.mode === 'failing' || !isSuccessful;
    if (defect === 'false-not-run' && run.path.includes('7')) {
      answer(503, 'false', { 'x-not-run': 'true' });
      return;
    }
    const path = defect === 'crossed-answer' ? `${run.path}0` : run.path;
    answer(isFailing ? 500 : 200, isFailing ? 'failed' : answerFor(path), {});
  }

  #simulateWork(): Promise<void> {
    const { time, random } = this.#options;
    const factor = this.mode === 'slow' || this.mode === 'cold' ? SLOW_FACTOR : 1;
    return new Promise((resolve) => {
      time.after(null, (1 + random() * MAX_RUN_MS) * factor, () => resolve());
    });
  }
}
