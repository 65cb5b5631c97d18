import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { writeFile } from 'node:fs/promises';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { request, type Dispatcher } from 'undici';
import { PlatformBackend } from './platform-backend.js';
import { formatSettingsFile, type HostSettings } from './platform-settings.js';

/** What a host needs; the address of its backend server follows when that listens. */
export interface HostOptions extends Omit<HostSettings, 'node' | 'backend'> {
  /** Command that starts the program, without its arguments. */
  readonly program: readonly [string, ...(readonly string[])];
  /** Directory of the settings file. */
  readonly directory: string;
  /** Identifier of the first run of the backend server. */
  readonly instance: string;
}

const START_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;

/**
 * Starts to listen on a loopback address.
 *
 * @param server - the server
 * @param ip - the address
 * @returns the port that the system chose
 */
export async function listenOn(server: Server, ip: string): Promise<number> {
  server.listen(0, ip);
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/** A host of the platform: a stand-in backend server, and the node beside it as a real process. */
export class HostProcess {
  readonly options: HostOptions;

  readonly backend: PlatformBackend;

  readonly #backendPort: number;

  #node: ChildProcess | null = null;

  private constructor(options: HostOptions, backend: PlatformBackend, backendPort: number) {
    this.options = options;
    this.backend = backend;
    this.#backendPort = backendPort;
  }

  /**
   * Opens a host whose node does not run yet.
   *
   * @param options - addresses, names and the directory of the settings
   * @returns the host
   */
  static async open(options: HostOptions): Promise<HostProcess> {
    const { directory, ip, instance } = options;
    const backend = new PlatformBackend(instance);
    const port = await listenOn(backend.server, ip);
    const settings = { ...options, node: `node-${ip}`, backend: `${ip}:${port}` };
    await writeFile(join(directory, `${ip}.toml`), formatSettingsFile(settings));
    return new HostProcess(options, backend, port);
  }

  /** Starts the node. */
  startNode(): void {
    const { directory, ip, program } = this.options;
    const [command, ...args] = program;
    this.#node = spawn(command, [...args, 'node', '--platform'], {
      env: { ALMONDHOIST_CONFIG: join(directory, `${ip}.toml`) },
      stdio: 'ignore',
    });
  }

  /**
   * Sends a signal to the node.
   *
   * @param name - the signal
   */
  signalNode(name: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM' | 'SIGHUP'): void {
    this.#node?.kill(name);
  }

  /** Waits until the node has ended. */
  async waitForExit(): Promise<void> {
    const node = this.#node;
    if (node === null || node.exitCode !== null || node.signalCode !== null) return;
    await once(node, 'exit');
  }

  /**
   * Describes the backend server as its entry in the store does.
   *
   * @param startUnixMs - Unix time of its start
   * @param warmUpLeftMs - how much longer it is cold
   * @returns the value of the entry
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
   * Waits until the node takes work.
   *
   * @param dispatcher - connections to use
   */
  async waitUntilReady(dispatcher: Dispatcher): Promise<void> {
    const startDeadline = performance.now() + START_TIMEOUT_MS;
    while (!(await this.#isReady(dispatcher))) {
      if (performance.now() > startDeadline)
        throw new Error(`${this.options.ip} did not become ready`);
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Ends node and backend server. */
  close(): void {
    // A process that stands still takes no other signal.
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
      // A node that does not listen yet is not ready.
      return false;
    }
  }
}
