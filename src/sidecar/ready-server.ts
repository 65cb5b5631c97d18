import type { Server } from 'node:http';
import type { Registry } from 'prom-client';
import { createBodilessServer } from '../runtime/bodiless-server.js';

/** Paths of the readiness probe and of the metrics. */
export interface ReadyPaths {
  readonly ready: string;
  readonly metrics: string;
}

/**
 * Creates the HTTP server for the platform's readiness probe and for the metrics.
 *
 * @param paths - paths of the probe and of the metrics
 * @param isReady - whether the node accepts new requests
 * @param registry - the metrics of the node
 * @returns the server, not yet listening
 */
export function createReadyServer(
  paths: ReadyPaths,
  isReady: () => boolean,
  registry: Registry,
): Server {
  return createBodilessServer((request, response) => {
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
