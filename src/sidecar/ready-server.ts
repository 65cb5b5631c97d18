import { createServer, type Server } from 'node:http';
import type { Registry } from 'prom-client';

/** Paths of the readiness and metrics requests. */
export interface ReadyPaths {
  readonly ready: string;
  readonly metrics: string;
}

/**
 * Builds the HTTP server for the platform's readiness question and for metrics.
 *
 * @param paths - paths of both
 * @param isReady - whether the node takes new work
 * @param registry - the node's metrics
 * @returns a server that is not listening yet
 */
export function createReadyServer(
  paths: ReadyPaths,
  isReady: () => boolean,
  registry: Registry,
): Server {
  return createServer((request, response) => {
    if (request.url === paths.metrics) {
      void registry.metrics().then((text) => {
        response.writeHead(200, { 'content-type': registry.contentType });
        response.end(text);
      });
      return;
    }
    response.writeHead(request.url === paths.ready && isReady() ? 200 : 503);
    response.end();
  });
}
