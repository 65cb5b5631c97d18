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
/** Longer than the stop deadline in the settings of the benchmark's nodes. */
const STOP_TIMEOUT_MS = 4000;

/**
 * Finds free TCP ports on the loopback address. All ports stay bound until the last one is known,
 * so that they differ.
 *
 * @param count - number of ports
 * @returns distinct port numbers
 */
export async function findFreePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports;
}

/** A child process, which is signalled by its process id. */
export class Child {
  readonly #process: ChildProcess;

  /** A program that could not be started emits no `exit` event. */
  #hasFailedToStart = false;

  /**
   * @param command - path of the program
   * @param args - command line arguments
   */
  constructor(command: string, args: readonly string[]) {
    // A stand-in exits when its IPC channel closes with the benchmark; other programs ignore it.
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
   * @param settings - settings, passed to the stand-in as JSON
   * @returns child process of the stand-in
   */
  static startStandin(name: string, settings: object): Child {
    const file = fileURLToPath(new URL(`../standin/${name}.js`, import.meta.url));
    return new Child(process.execPath, [file, '--settings', JSON.stringify(settings)]);
  }

  /** @returns whether the process was started and has not exited */
  get isRunning(): boolean {
    if (this.#hasFailedToStart) return false;
    return this.#process.exitCode === null && this.#process.signalCode === null;
  }

  /**
   * Registers a callback that runs once when the process exits.
   *
   * @param listener - callback to run
   */
  onExit(listener: () => Promise<void>): void {
    this.#process.once('exit', () => {
      void listener();
    });
  }

  /** @returns ports that the stand-in prints in its first line of output, by name */
  async readPorts(): Promise<Readonly<Record<string, number>>> {
    const { stdout } = this.#process;
    if (stdout === null) throw new Error('the process has no standard output');
    const lines = createInterface({ input: stdout });
    try {
      const signal = AbortSignal.timeout(START_TIMEOUT_MS);
      const event = await Promise.race([once(lines, 'line', { signal }), once(lines, 'close')]);
      return JSON.parse(String(event[0])) as Readonly<Record<string, number>>;
    } catch (error) {
      throw new Error(`the stand-in printed no ports: ${String(error)}`);
    }
  }

  /** Discards the process's standard output, since a full pipe would block the process. */
  discardOutput(): void {
    this.#process.stdout?.resume();
  }

  /**
   * Sends SIGTERM, and SIGKILL when the process does not exit within 4 s.
   *
   * @returns exit code of the process, or null when it was killed
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
 * Sends a control request of the benchmark. Rejects after 5 s or on a status other than 200.
 *
 * @param url - URL of the request
 * @param body - value to post as JSON; undefined sends a GET request
 * @returns text of the response body
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
 * Waits until a URL responds to HTTP requests with any status. Rejects when the process exits or
 * does not respond within 200 attempts.
 *
 * @param url - URL to request
 * @param child - process that is expected to respond
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
  throw new Error(`no HTTP response from ${url}`);
}
