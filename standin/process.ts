import { once } from 'node:events';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parseArgs } from 'node:util';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';

/** A source of numbers in [0, 1) that a seed determines. */
export type Random = () => number;

/**
 * Makes a seeded source of random numbers.
 *
 * @param seed - any integer
 * @returns the source
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/**
 * Reads the settings of a stand-in from `--settings JSON`.
 *
 * @returns the parsed settings; only this repository's own benchmark and tests write them
 */
export function parseSettings<Settings>(): Settings {
  const { values } = parseArgs({ options: { settings: { type: 'string' } } });
  return JSON.parse(values.settings ?? '{}') as Settings;
}

/**
 * Starts to listen on the loopback address.
 *
 * @param server - the server
 * @param port - port, or 0 for one that the system chooses
 * @returns the port in use
 */
export async function listen(server: Server, port: number): Promise<number> {
  server.listen(port, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

/**
 * Prints the ports in use as one JSON line for the parent process, and ends on SIGTERM or when
 * the parent has gone, so that no stand-in outlives an aborted benchmark.
 *
 * @param ports - ports by purpose
 */
export function announcePorts(ports: Readonly<Record<string, number>>): void {
  process.stdout.write(`${JSON.stringify(ports)}\n`);
  process.on('SIGTERM', () => process.exit(0));
  process.on('disconnect', () => process.exit(0));
}

/**
 * Reads a body.
 *
 * @param request - the request
 * @returns the whole body as text
 */
export async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Answers with JSON.
 *
 * @param response - the response to end
 * @param status - HTTP status
 * @param value - body; undefined for none
 * @param headers - further headers
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
