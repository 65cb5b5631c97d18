import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { request } from 'undici';

const CONTROL_TIMEOUT_MS = 5000;
const START_TIMEOUT_MS = 10_000;
/** Above the stop deadline in the settings of a benchmark's nodes. */
const STOP_TIMEOUT_MS = 4000;

/**
 * Asks the system for free ports. They are held together until all are known, so they differ.
 *
 * @param count - how many
 * @returns the ports
 */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports;
}

/** A child process, ended by its own id. */
export class Child {
  readonly #process: ChildProcess;

  /** A program that cannot be run never exits. */
  #hasFailedToStart = false;

  /**
   * @param command - program
   * @param args - its arguments
   */
  constructor(command: string, args: readonly string[]) {
    // The IPC channel tells a stand-in that the benchmark has gone; other programs ignore it.
    this.#process = spawn(command, args, {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
      env: { ...process.env, NODE_NO_WARNINGS: '1' },
    });
    this.#process.once('error', () => {
      this.#hasFailedToStart = true;
    });
  }

  /**
   * Starts a stand-in.
   *
   * @param name - file name below `standin/` without extension
   * @param settings - its settings
   * @returns the process
   */
  static startStandin(name: string, settings: object): Child {
    const file = fileURLToPath(new URL(`../standin/${name}.js`, import.meta.url));
    return new Child(process.execPath, [file, '--settings', JSON.stringify(settings)]);
  }

  /** @returns whether the process still runs */
  get isRunning(): boolean {
    if (this.#hasFailedToStart) return false;
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /**
   * Calls back once when the process ends.
   *
   * @param listener - the callback
   */
  onExit(listener: () => Promise<void>): void {
    this.#process.once('exit', () => {
      void listener();
    });
  }

  /** @returns the ports that the stand-in announces in its first line */
  async readPorts(): Promise<Readonly<Record<string, number>>> {
    const { stdout } = this.#process;
    if (stdout === null) throw new Error('the process has no standard output');
    const lines = createInterface({ input: stdout });
    try {
      const signal = AbortSignal.timeout(START_TIMEOUT_MS);
      const event = await Promise.race([once(lines, 'line', { signal }), once(lines, 'close')]);
      return JSON.parse(String(event[0])) as Readonly<Record<string, number>>;
    } catch (error) {
      throw new Error(`a stand-in did not start: ${String(error)}`);
    }
  }

  /** Lets a node's log flow to nowhere, since a full pipe would block it. */
  discardOutput(): void {
    this.#process.stdout?.resume();
  }

  /**
   * Asks the process to stop and kills it after a bounded time.
   *
   * @returns its exit code, or null when it was killed
   */
  async stop(): Promise<number | null> {
    if (!this.isRunning) return this.#process.exitCode;
    const exit = once(this.#process, 'exit');
    this.#process.kill('SIGTERM');
    const killTimer = setTimeout(() => this.#process.kill('SIGKILL'), STOP_TIMEOUT_MS);
    await exit;
    clearTimeout(killTimer);
    return this.#process.exitCode;
  }
}

/**
 * Sends a request of the benchmark itself and waits a bounded time.
 *
 * @param url - where to
 * @param body - JSON to post; undefined for GET
 * @returns the answer's text
 */
export async function fetchText(url: string, body?: unknown): Promise<string> {
  const response = await request(url, {
    method: body === undefined ? 'GET' : 'POST',
    body: body === undefined ? null : JSON.stringify(body),
    signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200)
    throw new Error(`${url} answered ${response.statusCode}: ${text}`);
  return text;
}

/**
 * Waits until an address answers HTTP at all.
 *
 * @param url - the address
 * @param child - the process that should answer; the wait ends when it has exited
 */
export async function waitUntilListening(url: string, child: Child): Promise<void> {
  for (let attempts = 0; attempts < 200 && child.isRunning; attempts += 1) {
    try {
      await (await request(url, { signal: AbortSignal.timeout(1000) })).body.dump();
      return;
    } catch {
      await sleep(50);
    }
  }
  throw new Error(`nothing listens at ${url}`);
}
