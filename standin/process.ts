import { once } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parseArgs } from 'node:util';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

/** A deterministic source of random numbers in [0, 1). */
export type Random = () => number;

/**
 * Creates a seeded source of random numbers.
 *
 * @param seed - any integer
 * @returns the source
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Parses the settings of a stand-in from the `--settings JSON` option.
 *
 * @returns the settings, unvalidated because only this repository's benchmark and tests write them
 */
export function parseSettings<Settings>(): Settings {
  const { values } = parseArgs({ options: { settings: { type: 'string' } } });
  return JSON.parse(values.settings ?? '{}') as Settings;
}

/**
 * Starts a server on the loopback address.
 *
 * @param server - server to start
 * @param port - port to use, or 0 for one that the operating system assigns
 * @returns the port in use
 */
export async function listen(server: Server, port: number): Promise<number> {
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/**
 * Prints the ports in use as one JSON line for the parent process. Also makes the process exit on
 * SIGTERM or when the parent disconnects, so that no stand-in outlives an aborted benchmark.
 *
 * @param ports - ports in use, by name
 */
export function announcePorts(ports: Readonly<Record<string, number>>): void {
  process.stdout.write(`${JSON.stringify(ports)}\n`);
  process.on('SIGTERM', () => process.exit(0));
  process.on('disconnect', () => process.exit(0));
}

/**
 * Reads the whole body of a request.
 *
 * @param request - request to read
 * @returns the body as UTF-8 text
 */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Sends a JSON answer and ends the response.
 *
 * @param response - response to send
 * @param status - HTTP status code
 * @param value - body before its encoding as JSON; undefined sends an empty body
 * @param headers - additional headers
 */
export function answerJson(
  response: ServerResponse,
  status: number,
  value?: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(value === undefined ? undefined : JSON.stringify(value));
}
