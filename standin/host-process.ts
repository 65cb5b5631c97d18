import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import type { AddressInfo, Server } from 'node:net';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request, type Dispatcher } from 'undici';
import { PlatformBackend } from './platform-backend.js';
import { formatSettingsFile, type HostSettings } from './platform-settings.js';

/** Settings of a host; the backend server's address is added once its server listens. */
export interface HostOptions extends Omit<HostSettings, 'node' | 'backend'> {
  /** Command that starts almondhoist, without the `node` subcommand and its options. */
  readonly program: readonly [string, ...(readonly string[])];
  /** Directory for the generated settings file. */
  readonly directory: string;
  /** File descriptor for the log of the node; it is discarded by default. */
  readonly logFile?: number;
  /** Initial instance identifier of the backend server. */
  readonly instance: string;
  /** Port of a backend server that runs elsewhere on the host; one is started by default. */
  readonly backendPort?: number;
}

/** End of a node process that was not asked to end. */
export interface UnexpectedExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Time from the start of the process to its end, in milliseconds. */
  readonly ageMs: number;
}

const START_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;

/**
 * Starts a server on a free port of a loopback address.
 *
 * @param server - server to start
 * @param ip - loopback address
 * @returns port that the operating system assigned
 */
export async function listenOn(server: Server, ip: string): Promise<number> {
  server.listen(0, ip);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/** A host of the platform: a stand-in backend server and its node, which is a real process. */
export class HostProcess {
  readonly options: HostOptions;

  readonly backend: PlatformBackend;

  readonly #backendPort: number;

  #node: ChildProcess | null = null;

  /** Processes that were asked to end. */
  readonly #endedNodes = new WeakSet<ChildProcess>();

  /**
   * Called when the node process ends without SIGTERM or SIGKILL from `signalNode`. The node is then
   * started again, as the platform does.
   */
  onUnexpectedExit: (exit: UnexpectedExit) => void = () => {};

  private constructor(options: HostOptions, backend: PlatformBackend, backendPort: number) {
    this.options = options;
    this.backend = backend;
    this.#backendPort = backendPort;
  }

  /**
   * Starts the backend server and writes the settings file; `startNode` starts the node.
   *
   * @param options - addresses, names and the directory for the settings file
   * @returns the host
   */
  static async open(options: HostOptions): Promise<HostProcess> {
    const { directory, ip, instance, backendPort } = options;
    const backend = new PlatformBackend(instance);
    const port = backendPort ?? (await listenOn(backend.server, ip));
    const settings = { ...options, node: `node-${ip}`, backend: `${ip}:${port}` };
    await writeFile(join(directory, `${ip}.toml`), formatSettingsFile(settings));
    return new HostProcess(options, backend, port);
  }

  /** Starts the node process without waiting until it is ready. */
  startNode(): void {
    const { directory, ip, program, logFile = 'ignore' } = this.options;
    const [command, ...args] = program;
    const startedAt = performance.now();
    const node = spawn(command, [...args, 'node', '--platform'], {
      env: { ALMONDHOIST_CONFIG: join(directory, `${ip}.toml`) },
      stdio: ['ignore', logFile, 'ignore'],
    });
    this.#node = node;
    node.once('exit', (code, signal) => {
      if (this.#endedNodes.has(node)) return;
      this.onUnexpectedExit({ code, signal, ageMs: performance.now() - startedAt });
      this.startNode();
    });
  }

  /** @returns the process id of the running node, or null when it has ended */
  get nodePid(): number | null {
    const node = this.#node;
    return node === null || node.exitCode !== null || node.signalCode !== null
      ? null
      : (node.pid ?? null);
  }

  /**
   * Sends a signal to the node process, if it was started.
   *
   * @param name - name of the signal
   */
  signalNode(name: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM' | 'SIGHUP'): void {
    if (this.#node === null) return;
    if (name === 'SIGKILL' || name === 'SIGTERM') this.#endedNodes.add(this.#node);
    this.#node.kill(name);
  }

  /** Waits until the node process has exited; returns at once if none runs. */
  async waitForExit(): Promise<void> {
    const node = this.#node;
    if (node === null || node.exitCode !== null || node.signalCode !== null) return;
    await once(node, 'exit');
  }

  /**
   * Creates the store entry with which the backend server registers itself.
   *
   * @param startUnixMs - start time of the backend server as Unix time
   * @param warmUpLeftMs - remaining warm-up time; 0 by default
   * @returns value of the entry
   */
  storeEntry(startUnixMs: number, warmUpLeftMs = 0): Readonly<Record<string, unknown>> {
    const { ip, service, zone } = this.options;
    return {
      address: `${ip}:${this.#backendPort}`,
      born: startUnixMs,
      info: { service, version: 'v1', zone, slots: 20 },
      status: { state: 'ready', sequence: 1, warmupLeft: `${warmUpLeftMs}ms` },
    };
  }

  /**
   * Waits until the node's readiness endpoint answers 200.
   *
   * @param dispatcher - undici dispatcher for the readiness requests
   * @throws Error when the node is not ready within `START_TIMEOUT_MS`
   */
  async waitUntilReady(dispatcher: Dispatcher): Promise<void> {
    const startDeadline = performance.now() + START_TIMEOUT_MS;
    while (!(await this.#isReady(dispatcher))) {
      if (performance.now() > startDeadline)
        throw new Error(`node on ${this.options.ip} did not become ready in time`);
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Kills the node and closes the backend server with its connections. */
  close(): void {
    // A process that SIGSTOP has suspended reacts to no other signal.
    this.signalNode('SIGKILL');
    this.backend.server.close();
    this.backend.server.closeAllConnections();
  }

  async #isReady(dispatcher: Dispatcher): Promise<boolean> {
    const { ip, readyPort } = this.options;
    try {
      const answer = await request(`http://${ip}:${readyPort}/readyz`, { dispatcher });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      // Connections are refused until the node listens.
      return false;
    }
  }
}
