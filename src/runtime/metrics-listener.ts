import type { Server } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import { createBodilessServer } from './bodiless-server.js';
import type { Metrics } from './metrics.js';

/**
 * Creates the HTTP server for Prometheus and for readiness checks.
 *
 * @param metrics - the node's metrics
 * @param isReady - returns whether the node serves callers
 * @returns a server that is not listening yet
 */
export function createMetricsServer(metrics: Metrics, isReady: () => boolean): Server {
  const app = new Hono();
  app.get('/metrics', async (context) =>
    context.text(await metrics.registry.metrics(), 200, {
      'content-type': metrics.registry.contentType,
    }),
  );
  app.get('/ready', (context) =>
    isReady() ? context.text('ready\n') : context.text('not ready\n', 503),
  );
  return createBodilessServer(getRequestListener(app.fetch, { overrideGlobalObjects: false }));
}
