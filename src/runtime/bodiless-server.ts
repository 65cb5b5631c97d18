import { createServer, type RequestListener, type Server } from 'node:http';
import type { Milliseconds } from '../core/model/time.js';

/** Time in which a request has to arrive; its sender is on the same network. */
const REQUEST_TIMEOUT_MS: Milliseconds = 5000;

/** How often the connections are checked for requests that did not arrive in time. */
const TIMEOUT_CHECK_INTERVAL_MS: Milliseconds = 1000;

/**
 * Creates an HTTP server for requests without a body. Node.js reads the rest of a request after its
 * answer, so the connection of a request that has not arrived whole by then is closed.
 *
 * @param listener - answers the requests
 * @returns the server, not yet listening
 */
export function createBodilessServer(listener: RequestListener): Server {
  const limits = {
    headersTimeout: REQUEST_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
  };
  return createServer(limits, (request, response) => {
    response.once('finish', () => {
      if (!request.complete) request.socket.destroySoon();
    });
    listener(request, response);
  });
}
